package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/state/configuration"
)

// Guards against more runs than the route allows, when a run through one peer node fails after a second run through
// another one has failed.
func TestRunsThroughTwoPeersAddUp(t *testing.T) {
	const attempts = 3
	runs := atomic.Int32{}
	withWatchedPair(t, sends(lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		offerVersion(pair.firstTable, 2, func(configured *configuration.Configuration) {
			for number := range configured.Routes {
				configured.Routes[number].MaxAttempts = attempts
			}
		})
		// Each peer runs the request once, and says so.
		failing := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			state, _ := url.ParseQuery(request.Header.Get("Hazelslip-Detour"))
			told, _ := strconv.Atoi(state.Get("Runs"))
			if runs.Add(1) == 1 {
				time.Sleep(3 * time.Second)
			}
			writer.Header().Set("Hazelslip-Detour", fmt.Sprintf("Result=MayHaveRun&ConfigurationVersion=2&Arrivals=1&Outcome=AttemptsSpent&Runs=%d", told+1))
			writer.WriteHeader(http.StatusBadGateway)
		})
		peers := []string{"peer-0:1", "peer-1:1", "peer-2:1", "peer-3:1", "peer-4:1"}
		report := func() {
			for _, peer := range peers {
				pair.peers.RecordReport(detour.Node{Address: peer})
			}
		}
		for _, peer := range peers {
			pair.serve(t, peer, failing)
		}
		report()
		for number := range 5 {
			time.AfterFunc(time.Duration(number+1)*time.Second, report)
		}
		request := pair.request(0, "/draft/1", bodyOfLength(10))
		request.URL.Host = firstAddress
		expect.Expect(pair.do(request).status).To(gomega.Equal(http.StatusBadGateway))
		expect.Expect(int(runs.Load())).To(gomega.Equal(attempts))
	})
}

// Guards against a request that is refused because the peer node that it was sent to is shutting down, while another peer
// would serve it.
func TestPeerThatShutsDownIsPassedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect, pair := gomega.NewWithT(t), newNodePair(t, countBody(0))
		respond := func(status int, state string) http.Handler {
			return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				writer.Header().Set("Hazelslip-Detour", state)
				writer.WriteHeader(status)
			})
		}
		pair.serve(t, "serving:1", respond(http.StatusOK, "Result=Server"))
		for number := range 4 {
			address := fmt.Sprintf("stopping-%d:1", number)
			pair.serve(t, address, respond(http.StatusServiceUnavailable, "Result=NotRun&Outcome=Stopping"))
			pair.peers.RecordReport(detour.Node{Address: address})
		}
		pair.peers.RecordReport(detour.Node{Address: "serving:1"})
		request := pair.request(0, "/book/1", bodyOfLength(10))
		request.URL.Host = firstAddress
		expect.Expect(pair.do(request).status).To(gomega.Equal(http.StatusOK))
		pair.close()
	})
}
