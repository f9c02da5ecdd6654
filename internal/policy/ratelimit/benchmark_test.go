package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// BenchmarkIssuerRefresh measures one refresh of an issuer with twenty borrowers that each want one
// permit, by the number of limited servers. It also reports the memory that the limits occupy.
func BenchmarkIssuerRefresh(b *testing.B) {
	for _, servers := range []int{0, 10, 380} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			before, after := runtime.MemStats{}, runtime.MemStats{}
			runtime.GC()
			runtime.ReadMemStats(&before)
			clock := &fakeClock{current: time.Minute}
			limits := ratelimit.New(ratelimit.Clock(clock.now), ratelimit.Incarnation(1))
			for server := range servers {
				run := ratelimit.Run{Server: fmt.Sprintf("i-%d", server)}
				limits.Merge(ratelimit.Limit{Run: run, Rate: 5, Version: 1, At: clock.current})
				for neighbour := range 20 {
					limits.ApplyClaims(ratelimit.Neighbour(neighbour+1), []ratelimit.Claim{{Run: run, Wanted: 1}}, asIssuer)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				clock.current += 40 * time.Millisecond
				limits.Refresh(asIssuer)
			}
			b.ReportMetric(max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)), "heap-bytes")
		})
	}
}

// BenchmarkHandleResponse measures the cost of a response without a limit, with and without other
// servers that have one.
func BenchmarkHandleResponse(b *testing.B) {
	for _, servers := range []int{0, 10} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			_, limits := newLimits()
			for server := range servers {
				limits.Merge(ratelimit.Limit{Run: ratelimit.Run{Server: fmt.Sprintf("i-%d", server)}, Rate: 5, Version: 1})
			}
			gate := limits.Gate(run)
			for b.Loop() {
				gate.TryAcquire(0)
				limits.HandleResponse(run, ratelimit.Response{})
			}
		})
	}
}
