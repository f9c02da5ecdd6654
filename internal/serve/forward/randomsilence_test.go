package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/state/configuration"
)

// randomScript returns a run of a stream that is silent, slow, refused or broken at random, and otherwise complete. It
// counts the runs that began.
func randomScript(draw *rand.Rand, began *atomic.Int32) func(run *run) {
	kind, until, pause := draw.IntN(11), draw.IntN(lastEvent), time.Duration(draw.IntN(120))*25*time.Millisecond
	if kind == 0 {
		return refuses
	}
	return func(run *run) {
		began.Add(1)
		switch kind {
		case 1:
			fails(run)
		case 2, 3:
			breaks(until, pause)(run)
		case 4:
			pauses(until, time.Minute, lastEvent)(run)
		case 5:
			_ = http.NewResponseController(run.writer).Flush()
			pauses(until, pause, (until+lastEvent)/2)(run)
			breaks(-1, 0)(run)
		default:
			pauses(until, pause, lastEvent)(run)
		}
	}
}

// Guards against answers that are joined from two runs, look complete when they are not, or run more often than their
// route allows, and against runs that go on after the end, for any order of silences, breaks, refusals, lost groups and
// callers that leave.
func TestRandomSilences(t *testing.T) {
	for seed := range uint64(250) {
		draw := rand.New(rand.NewPCG(seed, 1))
		began, attempts, resumable := atomic.Int32{}, 1+draw.IntN(3), draw.IntN(5) > 0
		scripts := []func(run *run){}
		for range 8 {
			scripts = append(scripts, randomScript(draw, &began))
		}
		withStreams(t, 1+draw.IntN(5), scripts, func(expect *gomega.WithT, rig *streamRig) {
			offerVersion(rig.table, 2, func(configured *configuration.Configuration) {
				for number := range configured.Routes {
					configured.Routes[number].MaxAttempts, configured.Routes[number].Resumable = attempts, resumable
				}
			})
			if draw.IntN(3) == 0 {
				at, group := time.Duration(draw.IntN(1000))*time.Millisecond, fmt.Sprintf("g-%d", draw.IntN(5))
				rig.watching.Go(func() {
					time.Sleep(at)
					rig.board.MarkGroupLost(group)
				})
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if draw.IntN(4) == 0 {
				ctx, cancel = context.WithTimeout(context.Background(), time.Duration(draw.IntN(3000))*time.Millisecond)
			}
			defer cancel()
			body, err := readSome(rig, rig.request(0, "/draft/1", bodyOfLength(10)).WithContext(ctx))
			time.Sleep(50 * time.Millisecond)
			name := fmt.Sprintf("seed %d", seed)
			if err == nil {
				expect.Expect(body).To(gomega.Or(gomega.Equal(answer(lastEvent)), gomega.BeEmpty()), name)
			}
			expect.Expect(strings.HasPrefix(answer(lastEvent), body)).To(gomega.BeTrue(), "%s: %q", name, body)
			if !resumable {
				attempts = 1
			}
			expect.Expect(int(began.Load())).To(gomega.BeNumerically("<=", attempts), name)
		})
	}
}

// readSome sends a request and returns what arrives of a stream, empty for a response other than 200.
func readSome(rig *streamRig, request *http.Request) (string, error) {
	response, err := rig.callers.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", err
	}
	return string(body), err
}
