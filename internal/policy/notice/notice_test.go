package notice_test

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// fixture holds the record of one run and a clock that a test sets.
type fixture struct {
	gomega.Gomega
	*notice.Notices
	at     time.Duration
	record *notice.Record
}

var run = ratelimit.Run{Server: "a", Born: 7}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{Gomega: gomega.NewWithT(t), at: time.Hour}
	now := func() time.Duration { return fixture.at }
	fixture.Notices = notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	fixture.record = fixture.Record(run)
	return fixture
}

// requestBackoff handles a response in which the server requests a backoff.
func (fixture *fixture) requestBackoff(span time.Duration) notice.Change {
	return fixture.HandleResponse(fixture.record, notice.Response{Backoff: notice.Backoff{Span: span}}).Backoff
}

// acceptCall handles a response to a call that was sent at the given time and that the server
// accepted.
func (fixture *fixture) acceptCall(sentAt time.Duration) notice.Change {
	return fixture.HandleResponse(fixture.record, notice.Response{Accepted: true, SentAt: sentAt}).Backoff
}

// Guards against a backoff that is cut short by a later, shorter one.
func TestShorterBackoffKeepsLongerOne(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.requestBackoff(3 * time.Second)).To(gomega.Equal(notice.Learned))
	fixture.at += time.Second
	fixture.Expect(fixture.requestBackoff(300 * time.Millisecond)).To(gomega.Equal(notice.Unchanged))
	fixture.Expect(fixture.acceptCall(fixture.at)).To(gomega.Equal(notice.Unchanged), "the accepted call was sent before the backoff ended")
	fixture.at += 1999 * time.Millisecond
	fixture.Expect(fixture.record.Admit()).To(gomega.MatchError(notice.ErrBackoff))
	fixture.Expect(fixture.requestBackoff(time.Second)).To(gomega.Equal(notice.Extended))
	fixture.at += 999 * time.Millisecond
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeFalse())
	fixture.at += time.Millisecond
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeTrue())
}

// Guards against sending all waiting calls at once to a server that is still overloaded after its
// backoff.
func TestOneProbeCallAfterBackoff(t *testing.T) {
	fixture := newFixture(t)
	fixture.requestBackoff(time.Second)
	fixture.at += time.Second
	sent := fixture.at
	fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeFalse())
	fixture.Expect(fixture.record.Admit()).To(gomega.MatchError(notice.ErrBackoff))
	fixture.at += 20 * time.Millisecond
	fixture.Expect(fixture.acceptCall(sent)).To(gomega.Equal(notice.Ended))
	for range 3 {
		fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	}
	fixture.Expect(fixture.State()).To(gomega.BeEmpty())
}

// Guards against a server that never gets a call again because the response to the probe call was
// lost.
func TestLostProbeIsFollowedByAnother(t *testing.T) {
	fixture := newFixture(t)
	fixture.requestBackoff(time.Second)
	fixture.at += time.Second
	fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	fixture.at += 499 * time.Millisecond
	fixture.Expect(fixture.record.Admit()).NotTo(gomega.Succeed())
	fixture.at += time.Millisecond
	fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	fixture.at += 20 * time.Second
	fixture.Expect(fixture.Sweep(func(ratelimit.Run) bool { return true })).To(gomega.Equal([]string{"a"}))
	fixture.Expect(fixture.State()).To(gomega.BeEmpty())
}

// Guards against calls to a draining run, and against a new run of the server that gets no calls.
func TestDrainEndsOnlyWithNewRun(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.HandleResponse(fixture.record, notice.Response{Draining: true}).Draining).To(gomega.Equal(notice.Learned))
	fixture.Expect(fixture.HandleResponse(fixture.record, notice.Response{Draining: true}).Draining).To(gomega.Equal(notice.Unchanged))
	fixture.acceptCall(fixture.at)
	for range 20 {
		fixture.at += time.Minute
		fixture.Sweep(func(ratelimit.Run) bool { return false })
	}
	fixture.Expect(fixture.Record(run).Admit()).To(gomega.MatchError(notice.ErrDraining))
	fixture.Expect(errors.Is(fixture.Record(run).Admit(), notice.ErrWithheld)).To(gomega.BeTrue())
	fixture.Expect(fixture.Draining(run)).To(gomega.BeTrue())
	next := ratelimit.Run{Server: "a", Born: 8}
	fixture.Expect(fixture.Record(next).Admit()).To(gomega.Succeed())
	fixture.Expect(fixture.Draining(next)).To(gomega.BeFalse())
}

// Guards against a backoff that ends when the server restarts or changes its group.
func TestBackoffAppliesToServerID(t *testing.T) {
	fixture := newFixture(t)
	fixture.requestBackoff(3 * time.Second)
	for range 4 {
		fixture.at += 700 * time.Millisecond
		fixture.Sweep(func(ratelimit.Run) bool { return false })
		fixture.Expect(fixture.Record(ratelimit.Run{Server: "a", Born: int64(fixture.at)}).Admit()).To(gomega.MatchError(notice.ErrBackoff))
	}
	fixture.Expect(fixture.Record(ratelimit.Run{Server: "b"}).Admit()).To(gomega.Succeed())
}

// Guards against overflow of very long backoffs, and against a log line for each value that cannot
// be parsed.
func TestExtremeAndUnreadableBackoffs(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.requestBackoff(math.MaxInt64 / 2)).To(gomega.Equal(notice.Learned))
	fixture.Expect(fixture.State()[0].BackoffMilliseconds).To(gomega.Equal((7 * 24 * time.Hour).Milliseconds()))
	other := fixture.Record(ratelimit.Run{Server: "b"})
	unreadable := notice.Response{Backoff: notice.Backoff{Unreadable: `"soon"`}}
	fixture.Expect(fixture.HandleResponse(other, unreadable).Backoff).To(gomega.Equal(notice.Unreadable))
	fixture.Expect(fixture.HandleResponse(other, unreadable).Backoff).To(gomega.Equal(notice.Unchanged))
	fixture.Expect(fixture.Counts.Unreadable.Load()).To(gomega.BeEquivalentTo(2))
	fixture.Expect(other.Admit()).To(gomega.Succeed())
}

// Guards against admitting more than one of many concurrent calls as the probe after a backoff.
func TestOneOfManyConcurrentCallsIsProbe(t *testing.T) {
	fixture := newFixture(t)
	fixture.requestBackoff(time.Second)
	fixture.at += time.Second
	admitted, wait, mu := 0, sync.WaitGroup{}, sync.Mutex{}
	for range 64 {
		wait.Go(func() {
			if fixture.record.Admit() == nil {
				mu.Lock()
				admitted++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	fixture.Expect(admitted).To(gomega.Equal(1))
}

func BenchmarkAcceptsWithoutNotices(b *testing.B) {
	record := notice.New(ratelimit.New()).Record(run)
	for b.Loop() {
		if !record.Accepts(time.Hour) || record.Admit() != nil {
			b.Fatal("a call was refused without a backoff or drain")
		}
	}
}
