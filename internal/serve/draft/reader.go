package draft

import (
	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/route"
)

// heldMost bounds the pieces that are held while an earlier one is missing.
const heldMost = 1024

// reader puts the pieces of one attempt in order.
type reader struct {
	work    *work
	stream  *engine.Stream
	attempt uint64
	held    map[int]string
}

// read passes tokens on until the answer's end. The end counts only when every
// token before it has come; anything else is a broken attempt.
func (reader *reader) read(choice *route.Choice, progress func()) (reason string, err error) {
	for {
		piece, err := reader.stream.Next()
		if err != nil {
			return "", err
		}
		switch {
		case piece.Attempt != reader.attempt:
			reader.work.server.piecesDropped.Add(1)
		case piece.Failure != "":
			return "", errors.Mark(errors.Newf("the engine gave up: %s", piece.Failure), engine.ErrInterrupted)
		case piece.End:
			return piece.Reason, reader.checkEnd(piece)
		default:
			if err := reader.take(piece, choice, progress); err != nil {
				return "", err
			}
		}
	}
}

// checkEnd refuses an end that comes before the tokens it stands behind.
func (reader *reader) checkEnd(piece engine.Piece) error {
	if piece.Offset != len(reader.work.tokens) {
		return errors.Mark(errors.Newf("the answer ended at %d with %d tokens", piece.Offset, len(reader.work.tokens)), engine.ErrInterrupted)
	}
	return nil
}

func (reader *reader) take(piece engine.Piece, choice *route.Choice, progress func()) error {
	next := len(reader.work.tokens)
	_, known := reader.held[piece.Offset]
	if piece.Offset < next || known {
		reader.work.server.piecesDropped.Add(1)
		return nil
	}
	if len(reader.held) >= heldMost {
		return errors.Mark(errors.New("too many pieces came out of order"), engine.ErrInterrupted)
	}
	reader.held[piece.Offset] = piece.Token
	for {
		token, ok := reader.held[len(reader.work.tokens)]
		if !ok {
			return nil
		}
		delete(reader.held, len(reader.work.tokens))
		if err := reader.work.accept(token); err != nil {
			return err
		}
		choice.Token()
		progress()
	}
}
