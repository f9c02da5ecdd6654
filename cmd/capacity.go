package cmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/run/capacity"
)

type capacityCommand struct {
	Write    string        `type:"path" required:"" help:"File to write the page to."`
	Duration time.Duration `default:"6s" help:"How long each deployment is measured."`
}

// Help gives an example.
func (command *capacityCommand) Help() string {
	return "Example:\n  hazelslip capacity --write docs/CAPACITY.md"
}

// Run measures and writes the page.
func (command *capacityCommand) Run(streams *streams) error {
	report, err := capacity.Measure(context.Background(), command.Duration, func(sample capacity.Sample) {
		_, _ = fmt.Fprintf(streams.Err, "measured %+v\n", sample.Point)
	})
	if err != nil {
		return err
	}
	file, err := os.Create(command.Write)
	if err != nil {
		return errors.Wrap(err, "open the page")
	}
	defer file.Close()
	return report.Write(file)
}
