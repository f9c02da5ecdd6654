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

// follower is a node's copy of the configuration.
type follower struct {
	*stream.Follower
	table *class.Table
}

func follow(log *platform.Log) follower {
	client := logservice.New("http://log", inprocess.Transport{Handler: log.Handler()})
	table := class.New()
	return follower{table: table, Follower: stream.New(
		class.StreamName, table.Fold(), stream.Read(client.Read), stream.Append(client.Append),
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

// Two operators change the same class at the same moment on two nodes. One
// must win, and the other must be told whose change beat theirs; "accepted" to
// both would mean that one of them reverts without a word.
func TestRacingOperatorsGetOneWinner(t *testing.T) {
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
				g.Expect(verdict.Beaten.Operator).To(gomega.Equal(fmt.Sprintf("operator-%d", 1-index)))
			}
		}
		for _, node := range nodes {
			node.Stop()
		}
	})
}

// The log takes an operator's change and its reply is lost. The change must
// not be made twice, and the operator must hear that it is in force.
func TestLostReplyIsOneChange(t *testing.T) {
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

// A node takes the state for a checkpoint; before the checkpoint is on the log
// another change is accepted. The change stands before the checkpoint and is
// not in it. A node that starts later must have it all the same.
func TestChangeBetweenSnapshotAndCheckpointIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		old := class.New()
		apply(t, old, 0, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
		log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
		checkpoint, err := old.Fold().Snapshot(1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.7), 1, "second"))
		log.Append(class.StreamName, checkpoint)
		log.DropBefore(class.StreamName, 1)

		late := follow(log)
		late.Start()
		defer late.Stop()
		time.Sleep(time.Second)
		g.Expect(late.Ready()).To(gomega.BeTrue())
		g.Expect(late.table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("second"))
	})
}

func apply(t *testing.T, table *class.Table, offset uint64, body []byte) {
	t.Helper()
	decoded, err := table.Fold().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(offset)
}

// Records expired before a checkpoint stood for them. A node that starts then
// must not take the rest for everything: it is not ready, and says so.
func TestNodeWithoutHistoryIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := platform.NewLog()
		for index := range 3 {
			log.Append(class.StreamName, fleet.EncodeClassChange(fleet.ClassTarget(fmt.Sprintf("class-%d", index), "drafting", 0.1), 0, fmt.Sprint(index)))
		}
		log.DropBefore(class.StreamName, 2)
		late, peer := follow(log), follow(platform.NewLog())
		late.Start()
		defer late.Stop()
		time.Sleep(5 * time.Second)
		g.Expect(late.Ready()).To(gomega.BeFalse())
		g.Expect(late.table.Snapshot().Entries).To(gomega.BeEmpty())

		// A peer that still holds the state helps it on.
		for index := range 3 {
			peer.Offer(stream.Relayed{Records: []logservice.Record{{
				Offset: uint64(index),
				Body:   fleet.EncodeClassChange(fleet.ClassTarget(fmt.Sprintf("class-%d", index), "drafting", 0.1), 0, fmt.Sprint(index)),
			}}})
		}
		relayed, err := peer.Fetch(late.Want(), 10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		late.Offer(relayed)
		g.Expect(late.Ready()).To(gomega.BeTrue())
		g.Expect(late.table.Snapshot().Names()).To(gomega.HaveLen(3))
	})
}

// The log comes back empty after an outage, or a replica of it lags. What an
// operator was told is accepted must stay in force on every node, and a node
// that starts afterwards must have it too.
func TestLogThatLosesItsRecordsRevertsNothing(t *testing.T) {
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
				late := follow(log)
				late.Start()
				defer late.Stop()
				time.Sleep(10 * time.Second)
				g.Expect(late.table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("change-3"))
			})
		})
	}
}

// A newer node wrote a field that this one does not know. Its checkpoint must
// carry the field on, or a rolling upgrade would lose it.
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
	checkpoint, err := table.Fold().Snapshot(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	restarted := class.New()
	apply(t, restarted, 1, checkpoint)
	g.Expect(string(restarted.Snapshot().Entries["urgent"].Target.ProtoReflect().GetUnknown())).To(gomega.Equal(unknownField))
}

// naive is the plainest fold: one map of revisions.
type naive map[string]uint64

func (model naive) apply(change *record.ConfigChange) bool {
	if class.Check(change) != nil || model[change.Name] != change.BaseRevision {
		return false
	}
	model[change.Name]++
	return true
}

// Random changes, some stale, some repeated, some invalid, with checkpoints in
// between and nodes that start from one: every node must come to the state of
// the naive model.
func TestFoldAgainstNaiveModel(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		log := [][]byte{}
		model := naive{}
		seen := map[string]bool{}
		writer := class.New()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				body, err := writer.Fold().Snapshot(uint64(len(log)))
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
			decoded, err := writer.Fold().Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			decoded.Apply(uint64(len(log) - 1))
		}
		from := rapid.IntRange(0, len(log)).Draw(t, "start")
		reader := class.New()
		started := from == 0
		for offset, body := range log[from:] {
			decoded, err := reader.Fold().Decode(body)
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
		revisions := naive{}
		for name, entry := range reader.Snapshot().Entries {
			revisions[name] = entry.Revision
		}
		if !maps.Equal(revisions, model) {
			t.Fatalf("folded %v, the naive model has %v", revisions, model)
		}
		if reader.State().Reverts != 0 {
			t.Fatal("a revision went back")
		}
	})
}

// A peer that was away offers an old checkpoint, as does a log that was
// restored from an old copy. What an operator was told is accepted must not go
// back to it.
func TestOldCheckpointChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := class.New()
	apply(t, table, 0, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.1), 0, "first"))
	old, err := table.Fold().Snapshot(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	apply(t, table, 1, fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.2), 1, "second"))
	apply(t, table, 2, old)
	g.Expect(table.Snapshot().Entries["urgent"].ChangeID).To(gomega.Equal("second"))
	g.Expect(table.State().Reverts).To(gomega.BeZero())
}
