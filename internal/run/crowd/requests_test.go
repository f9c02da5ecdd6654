package crowd_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/platform/standin"
)

// hiddenID is the ID of requests that are hidden in others. No server may run one.
const hiddenID = "hidden"

// request returns the start of a request that the node forwards, with more header lines.
func request(kind standin.Kind, id, lines string) string {
	return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: %s\r\nX-Hazelslip-Attempt-Id: %s\r\nX-Hazelslip-Deadline-Ms: 2000\r\nApi-Key: %s\r\n%s\r\n",
		kind, standin.Host, id, standin.APIKey, lines)
}

var (
	ping   = func(lines string) string { return request(standin.Ping, "crowd", "Connection: close\r\n"+lines) }
	kept   = func(lines string) string { return request(standin.Ping, "crowd", lines) }
	hidden = request(standin.Ping, hiddenID, "Content-Length: 0\r\n")
)

// brokenRequests break HTTP after their head, or use its corners.
var brokenRequests = []misbehaviour{
	{name: "chunks of one byte without end", start: ping("Transfer-Encoding: chunked\r\n"), rest: repeat(strings.Repeat("1\r\nx\r\n", 700)), size: endlessBytes},
	{name: "chunk extensions without end", start: ping("Transfer-Encoding: chunked\r\n") + "1;", rest: repeat(longPart), size: endlessBytes},
	{name: "a chunk length without end", start: ping("Transfer-Encoding: chunked\r\n"), rest: repeat(strings.Repeat("0", len(longPart))), size: endlessBytes},
	{name: "trailers without end", start: ping("Transfer-Encoding: chunked\r\nTrailer: A\r\n") + "0\r\n", rest: shortField, size: endlessBytes},
	{name: "a body longer than it says", start: ping("Content-Length: 1\r\n"), rest: repeat(longPart), size: endlessBytes},
	{name: "a body shorter than it says", start: ping("Content-Length: 1000000\r\n"), rest: repeat(longPart), size: 500_000},
	{name: "a body over the limit", start: ping("Content-Length: 100000000\r\n"), rest: repeat(longPart), size: endlessBytes},
	{name: "requests without reading responses", rest: repeat(strings.Repeat(kept("Content-Length: 0\r\n"), 20)), size: endlessBytes},
	{name: "two lengths", start: kept(fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n", len(hidden))), rest: repeat(hidden), size: len(hidden)},
	{name: "a length beside chunks", start: kept(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(hidden)+5)) + "0\r\n\r\n", rest: repeat(hidden), size: len(hidden)},
	{name: "an unknown transfer coding", start: ping("Transfer-Encoding: xchunked\r\n"), rest: repeat(hidden), size: len(hidden)},
	{name: "a request in a body", start: ping(fmt.Sprintf("Content-Length: %d\r\n", len(hidden))), rest: repeat(hidden), size: len(hidden)},
	{name: "an expected continuation without a body", start: ping("Expect: 100-continue\r\nContent-Length: 1000000\r\n"), rest: repeat("x"), size: 0},
	{name: "an upgrade", start: kept("Connection: Upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\nContent-Length: 0\r\n"), rest: repeat(longPart), size: 1 << 20},
	{name: "the preface of HTTP/2", start: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", rest: repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00"), size: endlessBytes / 4},
}

// checkHidden checks that no server has run a hidden request.
func checkHidden(t *testing.T) {
	t.Helper()
	expect := gomega.NewWithT(t)
	response, err := http.Get("http://" + controlAddress + "/observed")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	observed := standin.Observed{}
	expect.Expect(json.NewDecoder(response.Body).Decode(&observed)).To(gomega.Succeed())
	expect.Expect(observed.Arrivals).NotTo(gomega.BeEmpty())
	for _, arrival := range observed.Arrivals {
		expect.Expect(arrival.RequestID).NotTo(gomega.Equal(hiddenID))
	}
}

// Requests that break HTTP after their head must not end or hang the node, and must hide no other request.
func TestBrokenRequestsAreBounded(t *testing.T) {
	for number := range brokenRequests {
		broken := &brokenRequests[number]
		t.Run(broken.name, func(t *testing.T) {
			checkCrowd(t, startGateway, nodeAddress(callerPort), broken)
			checkHidden(t)
		})
	}
}

// Requests that break HTTP after their head must not end or hang a node with the project's own interface.
func TestBrokenRequestsAtOwnNodeAreBounded(t *testing.T) {
	for number := range brokenRequests {
		broken := &brokenRequests[number]
		t.Run(broken.name, func(t *testing.T) { checkCrowd(t, startOwnNode, ownAddress(ownCallerPort), broken) })
	}
}
