package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/platform/standin"
)

// A failed run is reproduced from its seed, so a seed must always give the same plan.
func TestSeedDeterminesPlan(t *testing.T) {
	expect := gomega.NewWithT(t)
	// Odd and even seeds give plans of different kinds.
	for _, seed := range []uint64{7, 8} {
		first, second := GeneratePlan(seed, time.Minute, 4, 24, 3), GeneratePlan(seed, time.Minute, 4, 24, 3)
		expect.Expect(first).To(gomega.Equal(second))
		expect.Expect(GeneratePlan(seed+2, time.Minute, 4, 24, 3).Faults).NotTo(gomega.Equal(first.Faults))
	}
}

// Across 40 seeds of mixed plans, every kind of fault must occur and faults must overlap. A kind that never
// occurs tests nothing.
func TestPlansCoverEveryFaultKind(t *testing.T) {
	expect := gomega.NewWithT(t)
	seen, overlapping := map[Kind]bool{}, 0
	for seed := range uint64(80) {
		plan := GeneratePlan(seed, 40*time.Second, 4, 24, 3)
		if plan.SoundServers {
			continue
		}
		for number, fault := range plan.Faults {
			seen[fault.Kind] = true
			if number > 0 && fault.At < plan.Faults[number-1].At+plan.Faults[number-1].Duration {
				overlapping++
			}
		}
	}
	for _, weighted := range faultWeights {
		expect.Expect(seen).To(gomega.HaveKey(weighted.kind))
	}
	expect.Expect(seen).To(gomega.HaveKey(Harmful))
	expect.Expect(overlapping).To(gomega.BeNumerically(">", 100))
}

// No other fault may be active while callers send a harmful request: the bound on its sends holds
// only while the nodes can reach each other.
func TestNoOtherFaultsDuringHarmfulRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	for seed := range uint64(80) {
		plan := GeneratePlan(seed, time.Minute, 4, 24, 3)
		for _, harmful := range plan.Faults {
			if harmful.Kind != Harmful {
				continue
			}
			for _, fault := range plan.Faults {
				quiet := fault.At+fault.Duration < harmful.At-harmfulQuietPeriod+1 || fault.At >= harmful.At+harmful.Duration || fault.Kind == Harmful
				expect.Expect(quiet).To(gomega.BeTrue(), fault.String())
			}
		}
	}
}

// Each check must report its kind of violation, and accept valid observations.
func TestChecksReportViolations(t *testing.T) {
	expect := gomega.NewWithT(t)
	booked := standin.Result{Request: standin.Request{ID: "book-1", Kind: standin.Book}, Status: 200, Complete: true}
	refused := standin.Result{Request: standin.Request{ID: "ping-1", Kind: standin.Ping}, Status: 503}
	mixed := standin.Result{Request: standin.Request{ID: "draft-1", Kind: standin.Draft}, Violation: "it belongs to another request"}
	results := []standin.Result{booked, refused, mixed}
	once := standin.Observed{Runs: []standin.Run{{ID: "book-1"}}}
	expect.Expect(checkResponses(results[:2], once)).To(gomega.BeEmpty())
	twice := standin.Observed{Runs: []standin.Run{{ID: "book-1"}, {ID: "book-1"}, {ID: "ping-1"}}, Violations: []string{"two groups"}}
	expect.Expect(checkResponses(results, twice)).To(gomega.HaveLen(4))

	retries := standin.Observed{}
	for range 130 {
		retries.Arrivals = append(retries.Arrivals, standin.Arrival{RequestID: "draft-1", At: time.Second})
	}
	expect.Expect(checkBudget(retries)).To(gomega.HaveLen(1))
	expect.Expect(checkBudget(standin.Observed{Arrivals: retries.Arrivals[:80]})).To(gomega.BeEmpty())

	harmful := standin.Observed{}
	for number := range 12 {
		at := time.Duration(number) * time.Second
		harmful.Harmful = append(harmful.Harmful, standin.HarmfulCall{At: at, EndedAt: at + time.Millisecond})
	}
	expect.Expect(checkHarmful(harmful)).To(gomega.HaveLen(1))
	expect.Expect(checkHarmful(standin.Observed{Harmful: harmful.Harmful[:6]})).To(gomega.BeEmpty())

	drains := []drain{{server: "l-1", at: time.Second}}
	expect.Expect(checkDrains(drains, standin.Observed{Runs: []standin.Run{{Server: "l-1", At: 3 * time.Second}}})).To(gomega.BeEmpty())
	expect.Expect(checkDrains(drains, standin.Observed{Runs: []standin.Run{{Server: "l-1", At: 9 * time.Second}}})).To(gomega.HaveLen(1))
}

func TestOptionsCheck(t *testing.T) {
	expect := gomega.NewWithT(t)
	valid := Options{Program: "/proc/self/exe", Length: time.Minute, Nodes: 4, BasePort: 23000}
	expect.Expect(valid.Check()).To(gomega.Succeed())
	for _, change := range []func(options *Options){
		func(options *Options) { options.Nodes = 0 },
		func(options *Options) { options.Busy = -1 },
		func(options *Options) { options.Busy = maxBusy + 1 },
		func(options *Options) { options.Length = 0 },
		func(options *Options) { options.BasePort = 80 },
		func(options *Options) { options.Program = "/nowhere" },
	} {
		invalid := valid
		change(&invalid)
		expect.Expect(invalid.Check()).To(gomega.MatchError(ErrOptions))
	}
}

// A port of the test is in use, for example by an earlier soak test that is still stopping. Run must
// return an error that says so. Run used to panic, because it stopped a process that had
// never been started.
func TestBusyPortFailsBeforeAnyProcessStarts(t *testing.T) {
	expect := gomega.NewWithT(t)
	const base = 25900
	busy, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer busy.Close()
	_, err = Run(t.Context(), Options{Program: "/proc/self/exe", Length: time.Second, Nodes: 1, BasePort: base, Folder: t.TempDir(), Out: io.Discard})
	expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("address already in use")))
}

func TestLimitOfCheckedServer(t *testing.T) {
	expect := gomega.NewWithT(t)
	seen := standin.Observed{LimitBreaches: []standin.Breach{{Server: "l-1", Calls: 9, Allowed: 8}}}
	expect.Expect(checkLimits("l-1", seen)).To(gomega.HaveLen(1))
	expect.Expect(checkLimits("l-2", seen)).To(gomega.BeEmpty())
}

// Busy processes of a soak test must not outlive it: they would slow everything else on the machine down.
func TestBusyProcessesEnd(t *testing.T) {
	expect := gomega.NewWithT(t)
	program := filepath.Join(t.TempDir(), "busy")
	expect.Expect(os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700)).To(gomega.Succeed())
	busy, err := startBusy(Options{Program: program, Busy: 3, Length: time.Second})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	started := busy.running
	expect.Expect(started).To(gomega.HaveLen(3))
	busy.stop()
	for _, command := range started {
		expect.Expect(command.ProcessState.String()).To(gomega.Equal("signal: killed"))
	}
	_, err = startBusy(Options{Program: "/nowhere", Busy: 1})
	expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("start a busy process")))
}
