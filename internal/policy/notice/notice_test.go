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

// fixture is the record of one run on a clock that a test moves.
type fixture struct {
	gomega.Gomega
	*notice.Notices
	at     time.Duration
	record *notice.Record
}

var runState = ratelimit.Run{Server: "a", Born: 7}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{Gomega: gomega.NewWithT(t), at: time.Hour}
	now := func() time.Duration { return fixture.at }
	fixture.Notices = notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	fixture.record = fixture.Record(runState)
	return fixture
}

// ask makes the server ask for a backoff.
func (fixture *fixture) ask(span time.Duration) notice.Change {
	return fixture.HandleResponse(fixture.record, notice.Response{Backoff: notice.Backoff{Span: span}}).Backoff
}

// take makes the server take a call that was sent at a time.
func (fixture *fixture) take(began time.Duration) notice.Change {
	return fixture.HandleResponse(fixture.record, notice.Response{Accepted: true, SentAt: began}).Backoff
}

// Guards against a backoff that a later, shorter one cuts short.
func TestShorterBackoffDoesNotShortenALongerOne(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.ask(3 * time.Second)).To(gomega.Equal(notice.Learned))
	fixture.at += time.Second
	fixture.Expect(fixture.ask(300 * time.Millisecond)).To(gomega.Equal(notice.Unchanged))
	fixture.Expect(fixture.take(fixture.at)).To(gomega.Equal(notice.Unchanged), "a call that was sent before")
	fixture.at += 1999 * time.Millisecond
	fixture.Expect(fixture.record.Admit()).To(gomega.MatchError(notice.ErrBackoff))
	fixture.Expect(fixture.ask(time.Second)).To(gomega.Equal(notice.Extended))
	fixture.at += 999 * time.Millisecond
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeFalse())
	fixture.at += time.Millisecond
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeTrue())
}

// Guards against all calls that waited reaching a server together that is still in need.
func TestOneCallTriesAServerAfterItsBackoff(t *testing.T) {
	fixture := newFixture(t)
	fixture.ask(time.Second)
	fixture.at += time.Second
	sent := fixture.at
	fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	fixture.Expect(fixture.record.Accepts(fixture.at)).To(gomega.BeFalse())
	fixture.Expect(fixture.record.Admit()).To(gomega.MatchError(notice.ErrBackoff))
	fixture.at += 20 * time.Millisecond
	fixture.Expect(fixture.take(sent)).To(gomega.Equal(notice.Ended))
	for range 3 {
		fixture.Expect(fixture.record.Admit()).To(gomega.Succeed())
	}
	fixture.Expect(fixture.State()).To(gomega.BeEmpty())
}

// Guards against a server that gets no calls any more since the answer to the one that tried it was lost.
func TestLostTrialIsFollowedByAnother(t *testing.T) {
	fixture := newFixture(t)
	fixture.ask(time.Second)
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

// Guards against a run that is called again before another run of its server has begun, and
// against a new run that gets no calls.
func TestOnlyAnotherRunEndsADrain(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.HandleResponse(fixture.record, notice.Response{Draining: true}).Draining).To(gomega.Equal(notice.Learned))
	fixture.Expect(fixture.HandleResponse(fixture.record, notice.Response{Draining: true}).Draining).To(gomega.Equal(notice.Unchanged))
	fixture.take(fixture.at)
	for range 20 {
		fixture.at += time.Minute
		fixture.Sweep(func(ratelimit.Run) bool { return false })
	}
	fixture.Expect(fixture.Record(runState).Admit()).To(gomega.MatchError(notice.ErrDraining))
	fixture.Expect(errors.Is(fixture.Record(runState).Admit(), notice.ErrWithheld)).To(gomega.BeTrue())
	fixture.Expect(fixture.Draining(runState)).To(gomega.BeTrue())
	next := ratelimit.Run{Server: "a", Born: 8}
	fixture.Expect(fixture.Record(next).Admit()).To(gomega.Succeed())
	fixture.Expect(fixture.Draining(next)).To(gomega.BeFalse())
}

// Guards against a backoff that ends with a restart, or a group, of the server.
func TestBackoffBelongsToTheServersID(t *testing.T) {
	fixture := newFixture(t)
	fixture.ask(3 * time.Second)
	for range 4 {
		fixture.at += 700 * time.Millisecond
		fixture.Sweep(func(ratelimit.Run) bool { return false })
		fixture.Expect(fixture.Record(ratelimit.Run{Server: "a", Born: int64(fixture.at)}).Admit()).To(gomega.MatchError(notice.ErrBackoff))
	}
	fixture.Expect(fixture.Record(ratelimit.Run{Server: "b"}).Admit()).To(gomega.Succeed())
}

// Guards against spans that overflow, and lines without end of values that can't be read.
func TestExtremeBackoffs(t *testing.T) {
	fixture := newFixture(t)
	fixture.Expect(fixture.ask(math.MaxInt64 / 2)).To(gomega.Equal(notice.Learned))
	fixture.Expect(fixture.State()[0].BackoffMilliseconds).To(gomega.Equal((7 * 24 * time.Hour).Milliseconds()))
	other := fixture.Record(ratelimit.Run{Server: "b"})
	bad := notice.Response{Backoff: notice.Backoff{Unreadable: `"soon"`}}
	fixture.Expect(fixture.HandleResponse(other, bad).Backoff).To(gomega.Equal(notice.Unreadable))
	fixture.Expect(fixture.HandleResponse(other, bad).Backoff).To(gomega.Equal(notice.Unchanged))
	fixture.Expect(fixture.Counts.Unreadable.Load()).To(gomega.BeEquivalentTo(2))
	fixture.Expect(other.Admit()).To(gomega.Succeed())
}

// Guards against more than one call, of many at once, that is let through after a backoff.
func TestTrialIsOneOfManyCalls(t *testing.T) {
	fixture := newFixture(t)
	fixture.ask(time.Second)
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

func BenchmarkTakesWhereNothingWasSaid(b *testing.B) {
	record := notice.New(ratelimit.New()).Record(runState)
	for b.Loop() {
		if !record.Accepts(time.Hour) || record.Admit() != nil {
			b.Fatal("a call was not let through")
		}
	}
}
