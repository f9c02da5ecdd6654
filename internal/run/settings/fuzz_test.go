package settings_test

import (
	"errors"
	"os"
	"testing"

	"hazelslip/internal/run/settings"
)

// FuzzParse feeds any file as settings: it must be settings or mistakes, each
// with a file and what is accepted.
func FuzzParse(f *testing.F) {
	body, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte("[[Models]]\nGroupSize = [1, {a = 2}]\n[Listen.Caller]\n"))
	f.Add([]byte("Models = 3\nServices = [[1]]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := settings.Parse("file", body)
		if err == nil {
			return
		}
		var mistakes settings.Mistakes
		if !errors.As(err, &mistakes) || len(mistakes) == 0 {
			t.Fatalf("an error without mistakes: %v", err)
		}
		for _, mistake := range mistakes {
			if mistake.File == "" || mistake.Accepted == "" {
				t.Fatalf("an empty mistake: %+v", mistake)
			}
		}
	})
}
