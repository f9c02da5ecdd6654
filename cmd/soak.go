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
	Seed     uint64        `default:"1" help:"Seed of the first plan. In plans of even seeds, servers stay sound: they are silent around planned work."`
	Seeds    int           `default:"1" help:"Number of plans to run one after the other, with consecutive seeds."`
	Length   time.Duration `default:"20s" help:"Time during which faults are injected, for each plan."`
	Nodes    int           `default:"4" help:"Number of nodes."`
	Busy     int           `default:"0" help:"Number of busy processes beside the nodes while faults are injected. More than there are cores starve the nodes."`
	Spin     time.Duration `default:"0s" hidden:"" help:"Keep one processor busy for this time and do nothing else, as a busy process does."`
	BasePort int           `default:"23000" help:"First port. The same ports are used on several loopback addresses."`
	Keep     string        `default:"" type:"path" help:"Folder for the logs of plans that violated a guarantee; the system's temporary folder if empty."`
}

// Help gives an example.
func (command *soakCommand) Help() string {
	return "Example:\n  hazelslip soak --seed 7 --length 30s\n  hazelslip soak --seed 100 --seeds 50 --keep failed\n  hazelslip soak --seed 2 --busy 24\n\n" +
		"The command runs gateways as processes of this program and ends only processes that it started."
}

// Run runs the plans and fails if any plan violated a guarantee.
func (command *soakCommand) Run(outputs *outputs) error {
	if command.Spin > 0 {
		soak.Spin(command.Spin)
		return nil
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failedSeeds := 0
	for number := range command.Seeds {
		violated, err := command.runSeed(ctx, outputs, program, command.Seed+uint64(number))
		if err != nil {
			return err
		}
		if violated {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Newf("guarantees were violated under %d of %d seeds", failedSeeds, command.Seeds)
	}
	return nil
}

// runSeed runs the plan of one seed and reports whether a guarantee was violated.
func (command *soakCommand) runSeed(ctx context.Context, outputs *outputs, program string, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp(command.Keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, errors.Wrap(err, "create a folder for logs")
	}
	report, err := soak.Run(ctx, soak.Options{
		Program: program, Seed: seed, Length: command.Length, Nodes: command.Nodes, Busy: command.Busy, BasePort: command.BasePort, Folder: folder, Out: outputs.Out,
	})
	switch {
	case errors.Is(err, soak.ErrOptions):
		return false, exitWith(ExitUsage, err)
	case err != nil:
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	_, _ = fmt.Fprintf(outputs.Out, "seed %d: %d faults, %d requests, %d complete responses, %d cut, by status %v, paused for up to %s, %d guarantees violated\n",
		report.Seed, report.Faults, report.Requests, report.Complete, report.Cut, report.Statuses, report.LongestPause.Round(time.Millisecond), len(report.Violations))
	if len(report.Violations) == 0 {
		return false, errors.Wrap(os.RemoveAll(folder), "remove logs")
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(outputs.Out, "  "+violation)
	}
	_, _ = fmt.Fprintln(outputs.Out, "  logs: "+filepath.Clean(folder))
	return true, nil
}
