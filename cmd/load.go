package cmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/run/load"
)

type loadCommand struct {
	Target      []string      `default:"http://127.0.0.1:7010" help:"Caller addresses of nodes, as URLs."`
	Rate        float64       `default:"20" help:"Requests per second."`
	Duration    time.Duration `default:"10s" help:"How long to send."`
	Mix         []string      `default:"urgent=1,report=2" help:"Classes with their weights, as class=weight."`
	MaxTokens   int           `default:"40" help:"Tokens of each response."`
	PromptBytes int           `default:"400" help:"Size of each prompt."`
	Workspaces  int           `default:"5" help:"Workspaces that the requests are spread over."`
	FirstToken  time.Duration `default:"1.8s" help:"Target for the first token."`
	Between     time.Duration `default:"80ms" help:"Target for the mean time between tokens."`
	StepClass   string        `help:"Class whose rate is raised during the run."`
	StepAt      time.Duration `help:"Time at which the rate of the step class is raised."`
	StepTimes   float64       `default:"5" help:"Factor by which the rate of the step class is multiplied."`
	Seed        uint64        `default:"1" help:"Seed of the random choices."`
	Report      string        `type:"path" help:"Plot the in-target share over time into this file (.svg or .png)."`
	JSON        bool          `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *loadCommand) Help() string {
	return "Example:\n  hazelslip load --target http://127.0.0.1:7010 --rate 40 --duration 20s --mix urgent=1,report=2 --step-class report --step-at 10s"
}

// Run sends the load and prints the report.
func (command *loadCommand) Run(outputs *outputs) error {
	plan := load.Plan{
		Targets: command.Target, Rate: command.Rate, Duration: command.Duration,
		StepClass: command.StepClass, StepAt: command.StepAt, StepTimes: command.StepTimes, Seed: command.Seed,
	}
	for _, entry := range command.Mix {
		spec, err := command.parseClass(entry)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		plan.Mix = append(plan.Mix, spec)
	}
	if err := plan.Check(); err != nil {
		return exitWith(ExitUsage, err)
	}
	report, err := load.Run(context.Background(), plan)
	if err != nil {
		return err
	}
	if command.Report != "" {
		if err := report.Plot(fmt.Sprintf("%g requests per second", command.Rate), command.Report); err != nil {
			return err
		}
	}
	if command.JSON {
		return printJSON(outputs.Out, report)
	}
	return printReport(outputs, report)
}

func (command *loadCommand) parseClass(entry string) (load.ClassSpec, error) {
	class, weightText, ok := strings.Cut(entry, "=")
	weight, err := strconv.ParseFloat(weightText, 64)
	if !ok || err != nil || weight <= 0 {
		return load.ClassSpec{}, errors.Newf("%q must be class=weight, such as urgent=1", entry)
	}
	return load.ClassSpec{
		Class: class, Weight: weight, Workspaces: command.Workspaces, PromptBytes: command.PromptBytes,
		MaxTokens: command.MaxTokens, FirstToken: command.FirstToken, BetweenTokens: command.Between,
	}, nil
}

// outcomes formats the count of each outcome.
func outcomes(counts map[string]int) string {
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}

func printReport(outputs *outputs, report load.Report) error {
	table := tabwriter.NewWriter(outputs.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CLASS\tSENT\tWHOLE\tIN TARGET\tREFUSED\tLATE\tFAILED\tOUTCOMES\tFIRST p50/p95/p99 ms\tBETWEEN p50/p95/p99 ms")
	for _, line := range report.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%s\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\n", line.Class, line.Sent, line.Whole,
			line.InTargetShare, line.Refused, line.RefusedLate, line.Failed, outcomes(line.Outcomes), line.FirstTokenP50, line.FirstTokenP95, line.FirstTokenP99,
			line.BetweenTokensP50, line.BetweenTokensP95, line.BetweenTokensP99)
	}
	_, _ = fmt.Fprintf(table, "%.0f tokens/s over %.1f s\n", report.TokensPerSecond, report.Seconds)
	return table.Flush()
}
