package stream

import (
	"context"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/record"
)

const (
	// partMarker is the first byte of a record that holds a part of a checkpoint. A protobuf message cannot begin with
	// it, because there is no field 0.
	partMarker = 0x00
	// maxPartBytes is the largest part of a checkpoint in one record. The log refuses records above its size limit. If
	// a checkpoint could never be written, starting nodes would have no history once older records have expired.
	maxPartBytes          = 1 << 20
	maxPendingCheckpoints = 4
)

// appendParts appends a checkpoint in as many records as it needs.
func (follower *Follower) appendParts(ctx context.Context, body []byte) error {
	if len(body) <= maxPartBytes {
		_, err := follower.append(ctx, follower.Name, body)
		return err
	}
	count := (len(body) + maxPartBytes - 1) / maxPartBytes
	id := rand.Uint64()
	for index := range count {
		part, err := proto.Marshal(&record.CheckpointPart{
			ID: id, Index: uint32(index), Count: uint32(count),
			Body: body[index*maxPartBytes : min(len(body), (index+1)*maxPartBytes)],
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

// partAssembler reassembles checkpoints from their parts. If the writer of a checkpoint dies before the last part, the
// parts are dropped when maxPendingCheckpoints others have begun after it.
type partAssembler struct {
	pending map[uint64][][]byte
	order   []uint64
}

// add returns the body of a record that is not a part of a checkpoint unchanged. With the last missing part of a
// checkpoint it returns the whole checkpoint. Otherwise it returns complete as false.
func (assembler *partAssembler) add(body []byte) (checkpoint []byte, complete bool) {
	if len(body) == 0 || body[0] != partMarker {
		return body, true
	}
	part := &record.CheckpointPart{}
	if err := proto.Unmarshal(body[1:], part); err != nil || part.Count == 0 || part.Index >= part.Count || part.Count > maxParts {
		return body, true
	}
	parts := assembler.partsOf(part)
	parts[part.Index] = part.Body
	for _, partBody := range parts {
		if partBody == nil {
			return nil, false
		}
		checkpoint = append(checkpoint, partBody...)
	}
	delete(assembler.pending, part.ID)
	return checkpoint, true
}

// maxParts bounds the number of parts of a checkpoint that is read.
const maxParts = 1024

// partsOf returns the slice that collects the parts of a checkpoint.
func (assembler *partAssembler) partsOf(part *record.CheckpointPart) [][]byte {
	if assembler.pending == nil {
		assembler.pending = map[uint64][][]byte{}
	}
	if parts, ok := assembler.pending[part.ID]; ok && len(parts) == int(part.Count) {
		return parts
	}
	parts := make([][]byte, part.Count)
	assembler.pending[part.ID] = parts
	assembler.order = append(assembler.order, part.ID)
	if len(assembler.order) > maxPendingCheckpoints {
		delete(assembler.pending, assembler.order[0])
		assembler.order = assembler.order[1:]
	}
	return parts
}
