package stream

import (
	"context"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/record"
)

const (
	// partMarker begins the record of a part. A protobuf message cannot begin
	// with it: there is no field 0.
	partMarker = 0x00
	// partBytes is how much of a checkpoint goes into one record. The log
	// refuses records over its limit, and a checkpoint that could never be
	// written would leave nodes that start without history once the older
	// records have expired.
	partBytes    = 1 << 20
	partsPending = 4
)

// appendParts writes a checkpoint in as many records as it needs.
func (follower *Follower) appendParts(ctx context.Context, body []byte) error {
	if len(body) <= partBytes {
		_, err := follower.append(ctx, follower.Name, body)
		return err
	}
	count := (len(body) + partBytes - 1) / partBytes
	id := rand.Uint64()
	for index := range count {
		part, err := proto.Marshal(&record.CheckpointPart{
			ID: id, Index: uint32(index), Count: uint32(count),
			Body: body[index*partBytes : min(len(body), (index+1)*partBytes)],
		})
		if err != nil {
			return err
		}
		if _, err := follower.append(ctx, follower.Name, append([]byte{partMarker}, part...)); err != nil {
			return err
		}
	}
	return nil
}

// parts collects checkpoints that come in pieces. Pieces of a checkpoint whose
// writer died half way are dropped when enough others have begun.
type parts struct {
	pending map[uint64][][]byte
	order   []uint64
}

// join returns a record as it is or, with the last piece of a checkpoint, the
// whole of it. Whole is false while pieces are missing.
func (parts *parts) join(body []byte) (joined []byte, whole bool) {
	if len(body) == 0 || body[0] != partMarker {
		return body, true
	}
	part := &record.CheckpointPart{}
	if err := proto.Unmarshal(body[1:], part); err != nil || part.Count == 0 || part.Index >= part.Count || part.Count > maxParts {
		return body, true
	}
	pieces := parts.begin(part)
	pieces[part.Index] = part.Body
	for _, piece := range pieces {
		if piece == nil {
			return nil, false
		}
		joined = append(joined, piece...)
	}
	delete(parts.pending, part.ID)
	return joined, true
}

const maxParts = 1024

func (parts *parts) begin(part *record.CheckpointPart) [][]byte {
	if parts.pending == nil {
		parts.pending = map[uint64][][]byte{}
	}
	if pieces, ok := parts.pending[part.ID]; ok && len(pieces) == int(part.Count) {
		return pieces
	}
	pieces := make([][]byte, part.Count)
	parts.pending[part.ID] = pieces
	parts.order = append(parts.order, part.ID)
	if len(parts.order) > partsPending {
		delete(parts.pending, parts.order[0])
		parts.order = parts.order[1:]
	}
	return pieces
}
