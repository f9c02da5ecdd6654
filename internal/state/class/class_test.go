package class_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/testlib/fleet"
	"hazelslip/internal/testlib/inprocess"
	"hazelslip/internal/testlib/suite"
	"hazelslip/internal/wire/record"
)

// follower is a stream.Follower with the table that it applies the stream Config to.
type follower struct {
	*stream.Follower
	table *class.Table
}

func follow(log *platform.Log) follower {
	client := logservice.New("http://log", inprocess.Transport{Handler: log.Handler()})
	table := class.New()
	return follower{table: table, Follower: stream.New(
		class.StreamName, table.StateMachine(), stream.Read(client.Read), stream.Append(client.Append),
		stream.Clock(clock.Virtual()), stream.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	)}
}

func (follower follower) submitter() *class.Submitter {
	return &class.Submitter{Table: follower.table, Follower: follower.Follower}
}

func change(name, id string, base uint64, firstToken uint32) *record.ConfigChange {
	target := fleet.ClassTarget(name, "drafting", 0.1)
	target.FirstTokenMs = firstToken
	return &record.ConfigChange{ChangeID: id, Name: name, BaseRevision: base, Target: target, Operator: id}
}

// Two operators change the same class at the same time on two nodes. One change must be accepted. The verdict about the
// other must name the accepted change. If both were accepted, one of them would be reverted silently.
func TestOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		nodes := []follower{follow(log), follow(log)}
		verdicts := make([]class.Verdict, len(nodes))
		submits := conc.NewWaitGroup()
		for index, node := range nodes {
			node.Start()
			defer node.Stop()
			submits.Go(func() {
				verdict, err := node.submitter().Submit(context.Background(), change("urgent", fmt.Sprintf("operator-%d", index), 0, uint32(100+index)))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				verdicts[index] = verdict
			})
		}
		submits.Wait()
		g.Expect(verdicts[0].Accepted).NotTo(gomega.Equal(verdicts[1].Accepted))
		for index, verdict := range verdicts {
			if !verdict.Accepted {
				g.Expect(verdict.InForce.Operator).To(gomega.Equal(fmt.Sprintf("operator-%d", 1-index)))
			}
		}
		for _, node := range nodes {
			node.Stop()
		}
	})
}

// The log appends a change and its reply is lost. The change must be made only once, and its verdict must be that it is
// accepted.
func TestChangeIsMadeOnceAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		node := follow(log)
		node.Start()
		defer node.Stop()
		log.SetFaults(platform.LogFaults{LoseReplies: true})
		verdict, err := node.submitter().Submit(context.Background(), change("urgent", "once", 0, 100))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(verdict).To(gomega.Equal(class.Verdict{Accepted: true, Revision: 1}))
	})
}

// A node takes the state for a checkpoint, and another change is accepted before the checkpoint is on the log. The
// change is before the checkpoint on the log but not part of it. A node that starts later must still have it.
func TestChangeBetweenSnapshotAndCheckpointIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		table := class.New()
		apply(t, table, 0, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
		log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
		checkpoint, err := table.StateMachine().Snapshot(1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.7), 1, "second"))
		log.Append(class.StreamName, checkpoint)
		log.DropBefore(class.StreamName, 1)

		newcomer := follow(log)
		newcomer.Start()
		defer newcomer.Stop()
		time.Sleep(time.Second)
		g.Expect(newcomer.Ready()).To(gomega.BeTrue())
		g.Expect(newcomer.table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("second"))
	})
}

func apply(t *testing.T, table *class.Table, offset uint64, body []byte) {
	t.Helper()
	decoded, err := table.StateMachine().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(offset)
}

// Records expired before a checkpoint covered them. A node that starts then lacks their changes and must not be ready.
func TestNodeWithoutHistoryIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		for index := range 3 {
			log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget(fmt.Sprintf("class-%d", index), "drafting", 0.1), 0, fmt.Sprint(index)))
		}
		log.DropBefore(class.StreamName, 2)
		newcomer, peer := follow(log), follow(platform.NewLog())
		newcomer.Start()
		defer newcomer.Stop()
		time.Sleep(5 * time.Second)
		g.Expect(newcomer.Ready()).To(gomega.BeFalse())
		g.Expect(newcomer.table.Snapshot().Entries).To(gomega.BeEmpty())

		// The node fetches the state from a peer that still has it.
		for index := range 3 {
			peer.ApplyFetched(stream.FetchReply{Records: []logservice.Record{{
				Offset: uint64(index),
				Body:   fleet.EncodeClassChange(fleet.ClassTarget(fmt.Sprintf("class-%d", index), "drafting", 0.1), 0, fmt.Sprint(index)),
			}}})
		}
		reply, err := peer.Fetch(newcomer.NextFetch(), 10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		newcomer.ApplyFetched(reply)
		g.Expect(newcomer.Ready()).To(gomega.BeTrue())
		g.Expect(newcomer.table.Snapshot().Names()).To(gomega.HaveLen(3))
	})
}

// The log comes back empty after an outage, or one of its replicas lags. A change that was reported as accepted must
// stay in force on every node, including a node that starts afterwards.
func TestLogThatLosesRecordsRevertsNothing(t *testing.T) {
	cases := map[string]func(log *platform.Log){
		"comes back empty": func(log *platform.Log) { log.Wipe() },
		"a replica lags":   func(log *platform.Log) { log.SetFaults(platform.LogFaults{StaleBy: 2}) },
		"comes back with an old record": func(log *platform.Log) {
			log.Wipe()
			log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "imposter"))
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				log := platform.NewLog()
				node := follow(log)
				node.Start()
				defer node.Stop()
				defer node.Stop()
				for index := range 4 {
					verdict, err := node.submitter().Submit(context.Background(), change("urgent", fmt.Sprint("change-", index), uint64(index), 100))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(verdict.Accepted).To(gomega.BeTrue())
				}
				fault(log)
				time.Sleep(30 * time.Second)
				g.Expect(node.table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("change-3"))
				g.Expect(node.table.State().Reverts).To(gomega.BeZero())
				log.SetFaults(platform.LogFaults{})
				newcomer := follow(log)
				newcomer.Start()
				defer newcomer.Stop()
				time.Sleep(10 * time.Second)
				g.Expect(newcomer.table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("change-3"))
			})
		})
	}
}

// A newer node wrote a field that this node does not know. The checkpoint of this node must keep the field, or a
// rolling upgrade would lose it.
func TestUnknownFieldIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	body := fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "newer")
	decoded := &record.ConfigRecord{}
	g.Expect(proto.Unmarshal(body, decoded)).To(gomega.Succeed())
	const unknownField = "\xa2\x06\x03new"
	decoded.GetChange().Target.ProtoReflect().SetUnknown([]byte(unknownField))
	body, err := proto.Marshal(decoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := class.New()
	apply(t, table, 0, body)
	checkpoint, err := table.StateMachine().Snapshot(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	restarted := class.New()
	apply(t, restarted, 1, checkpoint)
	g.Expect(string(restarted.Snapshot().Entries["urgent"].Target.ProtoReflect().GetUnknown())).To(gomega.Equal(unknownField))
}

// revisionModel is a plain map of class names to revisions that TestTableMatchesModel compares the table with.
type revisionModel map[string]uint64

func (model revisionModel) apply(change *record.ConfigChange) bool {
	if class.Check(change) != nil || model[change.Name] != change.BaseRevision {
		return false
	}
	model[change.Name]++
	return true
}

// Applies random changes, some of them stale, repeated or invalid, with checkpoints in between, and starts a reader at
// a random offset. The reader must reach the same revisions as the model.
func TestTableMatchesModel(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		log := [][]byte{}
		model := revisionModel{}
		seen := map[string]bool{}
		writer := class.New()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				body, err := writer.StateMachine().Snapshot(uint64(len(log)))
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, body)
				continue
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			drawn := change(name, fmt.Sprint("change-", rapid.IntRange(0, step).Draw(t, "id")), uint64(rapid.IntRange(0, int(model[name])+1).Draw(t, "base")), 100)
			drawn.Delete = rapid.IntRange(0, 4).Draw(t, "delete") == 0
			if rapid.IntRange(0, 9).Draw(t, "invalid") == 0 {
				drawn.Target.InTargetShare = 7
			}
			body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: drawn}})
			if err != nil {
				t.Fatal(err)
			}
			if seen[drawn.ChangeID] {
				continue
			}
			model.apply(drawn)
			seen[drawn.ChangeID] = true
			log = append(log, body)
			decoded, err := writer.StateMachine().Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			decoded.Apply(uint64(len(log) - 1))
		}
		from := rapid.IntRange(0, len(log)).Draw(t, "start")
		reader := class.New()
		started := from == 0
		for offset, body := range log[from:] {
			decoded, err := reader.StateMachine().Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			if started = started || decoded.Checkpoint; started {
				decoded.Apply(uint64(from + offset))
			}
		}
		if !started {
			return
		}
		revisions := revisionModel{}
		for name, entry := range reader.Snapshot().Entries {
			revisions[name] = entry.Revision
		}
		if !maps.Equal(revisions, model) {
			t.Fatalf("the table has revisions %v, the model has %v", revisions, model)
		}
		if reader.State().Reverts != 0 {
			t.Fatal("the revision of a class decreased")
		}
	})
}

// A peer that was unreachable for a while, or a log that was restored from an older backup, offers an old checkpoint.
// It must not revert a change that was reported as accepted.
func TestOldCheckpointChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := class.New()
	apply(t, table, 0, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
	oldCheckpoint, err := table.StateMachine().Snapshot(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	apply(t, table, 1, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.2), 1, "second"))
	apply(t, table, 2, oldCheckpoint)
	g.Expect(table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("second"))
	g.Expect(table.State().Reverts).To(gomega.BeZero())
}
