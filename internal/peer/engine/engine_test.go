package engine_test

import (
	"testing"

	"hazelslip/internal/peer/engine"
)

// FuzzParsePiece feeds arbitrary lines of a draft stream. ParsePiece must reject negative offsets.
func FuzzParsePiece(f *testing.F) {
	f.Add([]byte(`{"Attempt":1,"Offset":0,"Token":"a "}`))
	f.Add([]byte(`{"Offset":-1}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, line []byte) {
		piece, err := engine.ParsePiece(line)
		if err == nil && piece.Offset < 0 {
			t.Fatal("ParsePiece accepted a negative offset")
		}
	})
}
