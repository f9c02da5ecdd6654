package crowd_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// frameBytes is the size of a frame that clients send to the other nodes' address. A list of all servers may have it.
const frameBytes = 8<<20 - 1

// Frames that clients announce and send in part must not exhaust the node's memory.
func TestLargeFirstFramesStayWithinMemory(t *testing.T) {
	frame := misbehaviour{
		name: "frames of several MB", start: string(protowire.AppendVarint(nil, frameBytes)),
		rest: repeat(strings.Repeat("\x00", len(longPart))), size: frameBytes / 2,
	}
	checkCrowd(t, startGateway, nodeAddress(peerPort), &frame)
}
