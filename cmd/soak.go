package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/run/soak"
)

type soakCommand struct {
	Seed     uint64        `default:"1" help:"Seed of the first plan."`
	Seeds    int           `default:"1" help:"How many plans to run, one after the other, with seeds that follow."`
	Length   time.Duration `default:"20s" help:"How long faults are injected in each."`
	Nodes    int           `default:"4" help:"How many nodes."`
	BasePort int           `default:"23000" help:"First of the ports, which are used on several loopback addresses."`
	Keep     string        `default:"" type:"path" help:"Folder that keeps the logs of plans in which a promise was broken; a temporary one if empty."`
}

// Help gives an example.
func (command *soakCommand) Help() string {
	return "Example:\n  hazelslip soak --seed 7 --length 30s\n  hazelslip soak --seed 100 --seeds 50 --keep failed\n\n" +
		"It runs this program's gateway as processes and ends only those that it started."
}

// Run runs the plans and fails if a promise was broken in one.
func (command *soakCommand) Run(streams *streams) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := 0
	for number := range command.Seeds {
		broken, err := command.one(ctx, streams, program, command.Seed+uint64(number))
		if err != nil {
			return err
		}
		if broken {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("promises were broken under %d of %d seeds", failed, command.Seeds)
	}
	return nil
}

// one runs the plan of one seed and says whether it broke a promise.
func (command *soakCommand) one(ctx context.Context, streams *streams, program string, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp(command.Keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, errors.Wrap(err, "make a folder for logs")
	}
	report, err := soak.Run(ctx, soak.Options{
		Program: program, Seed: seed, Length: command.Length, Nodes: command.Nodes, BasePort: command.BasePort, Folder: folder, Out: streams.Out,
	})
	switch {
	case errors.Is(err, soak.ErrOptions):
		return false, exitWith(ExitUsage, err)
	case err != nil:
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	_, _ = fmt.Fprintf(streams.Out, "seed %d: %d faults, %d requests, %d answered whole, by status %v, %d promises broken\n",
		report.Seed, report.Faults, report.Requests, report.Whole, report.Statuses, len(report.Wrong))
	if len(report.Wrong) == 0 {
		return false, errors.Wrap(os.RemoveAll(folder), "remove logs")
	}
	for _, wrong := range report.Wrong {
		_, _ = fmt.Fprintln(streams.Out, "  "+wrong)
	}
	_, _ = fmt.Fprintln(streams.Out, "  logs: "+filepath.Clean(folder))
	return true, nil
}
