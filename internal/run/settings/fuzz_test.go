package settings_test

import (
	"errors"
	"os"
	"testing"

	"hazelslip/internal/run/settings"
)

// FuzzParse parses arbitrary files. Parse must return either settings or ValidationErrors, each with a file and a
// reason.
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
		var validationErrors settings.ValidationErrors
		if !errors.As(err, &validationErrors) || len(validationErrors) == 0 {
			t.Fatalf("Parse returned an error that holds no ValidationErrors: %v", err)
		}
		for _, validationError := range validationErrors {
			if validationError.File == "" || validationError.Reason == "" {
				t.Fatalf("validation error without file or reason: %+v", validationError)
			}
		}
	})
}
