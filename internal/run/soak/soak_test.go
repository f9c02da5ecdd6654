package soak

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/platform/standin"
)

// A seed that failed is played again: it must be the same plan.
func TestSeedIsThePlan(t *testing.T) {
	expect := gomega.NewWithT(t)
	one, other := Draw(7, time.Minute, 4, 24, 3), Draw(7, time.Minute, 4, 24, 3)
	expect.Expect(one).To(gomega.Equal(other))
	expect.Expect(Draw(8, time.Minute, 4, 24, 3)).NotTo(gomega.Equal(one))
}

// Over some seeds every kind of fault comes, and they overlap: one that is never drawn
// proves nothing.
func TestPlansHoldEveryFault(t *testing.T) {
	expect := gomega.NewWithT(t)
	seen, overlapping := map[Kind]bool{}, 0
	for seed := range uint64(40) {
		plan := Draw(seed, 40*time.Second, 4, 24, 3)
		for number, fault := range plan.Faults {
			seen[fault.Kind] = true
			if number > 0 && fault.At < plan.Faults[number-1].At+plan.Faults[number-1].For {
				overlapping++
			}
		}
	}
	for _, share := range shares {
		expect.Expect(seen).To(gomega.HaveKey(share.kind))
	}
	expect.Expect(seen).To(gomega.HaveKey(Harmful))
	expect.Expect(overlapping).To(gomega.BeNumerically(">", 100))
}

// While callers insist on a harmful request nothing else goes wrong, since what is
// promised of it holds for nodes that hear each other.
func TestHarmfulRequestsComeInQuietTimes(t *testing.T) {
	expect := gomega.NewWithT(t)
	for seed := range uint64(40) {
		plan := Draw(seed, time.Minute, 4, 24, 3)
		for _, harmful := range plan.Faults {
			if harmful.Kind != Harmful {
				continue
			}
			for _, fault := range plan.Faults {
				quiet := fault.At+fault.For < harmful.At-harmfulQuiet+1 || fault.At >= harmful.At+harmful.For || fault.Kind == Harmful
				expect.Expect(quiet).To(gomega.BeTrue(), fault.String())
			}
		}
	}
}

// Each check must find what it is for.
func TestChecksFindWhatIsWrong(t *testing.T) {
	expect := gomega.NewWithT(t)
	book := standin.Result{Request: standin.Request{ID: "book-1", Kind: standin.Book}, Status: 200, Complete: true}
	refused := standin.Result{Request: standin.Request{ID: "ping-1", Kind: standin.Ping}, Status: 503}
	mixed := standin.Result{Request: standin.Request{ID: "draft-1", Kind: standin.Draft}, Violation: "it belongs to another request"}
	answers := []standin.Result{book, refused, mixed}
	once := standin.Observed{Runs: []standin.Run{{ID: "book-1"}}}
	expect.Expect(checkAnswers(answers[:2], once)).To(gomega.BeEmpty())
	twice := standin.Observed{Runs: []standin.Run{{ID: "book-1"}, {ID: "book-1"}, {ID: "ping-1"}}, Violations: []string{"two groups"}}
	expect.Expect(checkAnswers(answers, twice)).To(gomega.HaveLen(4))

	repeats := standin.Observed{}
	for range 130 {
		repeats.Runs = append(repeats.Runs, standin.Run{ID: "draft-1", At: time.Second})
	}
	expect.Expect(checkBudget(repeats)).To(gomega.HaveLen(1))
	expect.Expect(checkBudget(standin.Observed{Runs: repeats.Runs[:80]})).To(gomega.BeEmpty())

	harmful := standin.Observed{}
	for number := range 12 {
		at := time.Duration(number) * time.Second
		harmful.Harmful = append(harmful.Harmful, standin.HarmfulCall{At: at, EndedAt: at + time.Millisecond})
	}
	expect.Expect(checkHarmful(harmful)).To(gomega.HaveLen(1))
	expect.Expect(checkHarmful(standin.Observed{Harmful: harmful.Harmful[:6]})).To(gomega.BeEmpty())

	left := []drain{{server: "l-1", at: time.Second}}
	expect.Expect(checkDrains(left, standin.Observed{Runs: []standin.Run{{Server: "l-1", At: 3 * time.Second}}})).To(gomega.BeEmpty())
	expect.Expect(checkDrains(left, standin.Observed{Runs: []standin.Run{{Server: "l-1", At: 9 * time.Second}}})).To(gomega.HaveLen(1))
}

func TestOptionsAreChecked(t *testing.T) {
	expect := gomega.NewWithT(t)
	good := Options{Program: "/proc/self/exe", Length: time.Minute, Nodes: 4, BasePort: 23000}
	expect.Expect(good.Check()).To(gomega.Succeed())
	for _, change := range []func(options *Options){
		func(options *Options) { options.Nodes = 0 },
		func(options *Options) { options.Length = 0 },
		func(options *Options) { options.BasePort = 80 },
		func(options *Options) { options.Program = "/nowhere" },
	} {
		bad := good
		change(&bad)
		expect.Expect(bad.Check()).To(gomega.MatchError(ErrOptions))
	}
}

// Another program has a port of the soak, as the last soak has while it stops. It must say
// so, and end; it ended with a panic, since it stopped a process that it had never started.
func TestBusyPortIsToldAndNothingIsStarted(t *testing.T) {
	expect := gomega.NewWithT(t)
	const base = 25900
	busy, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer busy.Close()
	_, err = Run(t.Context(), Options{Program: "/proc/self/exe", Length: time.Second, Nodes: 1, BasePort: base, Folder: t.TempDir(), Out: io.Discard})
	expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("address already in use")))
}

func TestLimitOfTheJudgedServerIsChecked(t *testing.T) {
	expect := gomega.NewWithT(t)
	seen := standin.Observed{LimitBreaches: []standin.Breach{{Server: "l-1", Calls: 9, Allowed: 8}}}
	expect.Expect(checkLimits("l-1", seen)).To(gomega.HaveLen(1))
	expect.Expect(checkLimits("l-2", seen)).To(gomega.BeEmpty())
}
