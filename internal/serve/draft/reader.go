package draft

import (
	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/route"
)

// maxPendingPieces bounds the pieces buffered while an earlier piece is missing.
const maxPendingPieces = 1024

// pieceReader reassembles the pieces of one attempt in order.
type pieceReader struct {
	job     *job
	stream  *engine.Stream
	attempt uint64
	pending map[int]string
}

// read emits tokens until the answer ends. The end is valid only if every earlier token has arrived; any other end
// fails the attempt.
func (pieceReader *pieceReader) read(choice *route.Choice, progress func()) (reason string, err error) {
	for {
		piece, err := pieceReader.stream.Next()
		if err != nil {
			return "", err
		}
		switch {
		case piece.Attempt != pieceReader.attempt:
			pieceReader.job.server.piecesDropped.Add(1)
		case piece.Failure != "":
			return "", errors.Mark(errors.Newf("engine reported a failure: %s", piece.Failure), engine.ErrInterrupted)
		case piece.End:
			return piece.Reason, pieceReader.checkEnd(piece)
		default:
			if err := pieceReader.accept(piece, choice, progress); err != nil {
				return "", err
			}
		}
	}
}

// checkEnd returns an error if the answer ends at another offset than the number of tokens emitted.
func (pieceReader *pieceReader) checkEnd(piece engine.Piece) error {
	if piece.Offset != len(pieceReader.job.tokens) {
		return errors.Mark(errors.Newf("answer ended at offset %d after %d tokens", piece.Offset, len(pieceReader.job.tokens)), engine.ErrInterrupted)
	}
	return nil
}

func (pieceReader *pieceReader) accept(piece engine.Piece, choice *route.Choice, progress func()) error {
	next := len(pieceReader.job.tokens)
	_, duplicate := pieceReader.pending[piece.Offset]
	if piece.Offset < next || duplicate {
		pieceReader.job.server.piecesDropped.Add(1)
		return nil
	}
	if len(pieceReader.pending) >= maxPendingPieces {
		return errors.Mark(errors.New("too many pieces arrived out of order"), engine.ErrInterrupted)
	}
	pieceReader.pending[piece.Offset] = piece.Token
	for {
		token, ok := pieceReader.pending[len(pieceReader.job.tokens)]
		if !ok {
			return nil
		}
		delete(pieceReader.pending, len(pieceReader.job.tokens))
		if err := pieceReader.job.emitToken(token); err != nil {
			return err
		}
		choice.RecordToken()
		progress()
	}
}
