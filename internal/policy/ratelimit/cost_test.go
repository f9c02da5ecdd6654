package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// BenchmarkHome is what a node spends on one look at its permits, with twenty borrowers that
// each want one, by how many servers name limits; and the memory that it holds for them.
func BenchmarkHome(b *testing.B) {
	for _, servers := range []int{0, 10, 380} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			before, after := runtime.MemStats{}, runtime.MemStats{}
			runtime.GC()
			runtime.ReadMemStats(&before)
			clock := &clockAt{at: time.Minute}
			limits := ratelimit.New(ratelimit.Clock(clock.now), ratelimit.Incarnation(1))
			for server := range servers {
				run := ratelimit.Run{Server: fmt.Sprintf("i-%d", server)}
				limits.Take(ratelimit.Limit{Run: run, Rate: 5, Version: 1, At: clock.at})
				for neighbour := range 20 {
					limits.TakeClaims(ratelimit.Neighbour(neighbour+1), []ratelimit.Claim{{Run: run, Wanted: 1}}, whole)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				clock.at += 40 * time.Millisecond
				limits.Refresh(whole)
			}
			b.ReportMetric(max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)), "heap-bytes")
		})
	}
}

// BenchmarkAnswer is what an answer of a server that names no limit costs, with and without
// others that do.
func BenchmarkAnswer(b *testing.B) {
	for _, servers := range []int{0, 10} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			_, limits := newLimits()
			for server := range servers {
				limits.Take(ratelimit.Limit{Run: ratelimit.Run{Server: fmt.Sprintf("i-%d", server)}, Rate: 5, Version: 1})
			}
			gate := limits.Gate(run)
			for b.Loop() {
				gate.Take(0)
				limits.Answered(run, ratelimit.Answer{})
			}
		})
	}
}
