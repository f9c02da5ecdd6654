package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/run/trial"
)

type trialCommand struct {
	Duration time.Duration `default:"16s" help:"How long each rule is given requests in each scenario."`
	Scenario string        `help:"Only scenarios whose name begins with this."`
	Rule     string        `help:"Only the rule of this name."`
	Report   string        `type:"path" help:"Draw each run of our own rules into this folder."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *trialCommand) Help() string {
	return "Example:\n  hazelslip trial --scenario b"
}

// Run runs the trials and prints a table.
func (command *trialCommand) Run(streams *streams) error {
	scenarios := []trial.Scenario{}
	for _, scenario := range trial.Scenarios() {
		if len(scenario.Name) >= len(command.Scenario) && scenario.Name[:len(command.Scenario)] == command.Scenario {
			scenarios = append(scenarios, scenario)
		}
	}
	rules := []trial.Rule{}
	for _, rule := range trial.Rules() {
		if command.Rule == "" || command.Rule == rule.Name {
			rules = append(rules, rule)
		}
	}
	if !command.JSON {
		_, _ = fmt.Fprintln(streams.Out, "| scenario | rule | in target urgent / report | urgent before / after | goodput tokens/s | wasted | retries | refused | refused late | failed |")
		_, _ = fmt.Fprintln(streams.Out, "|---|---|---|---|---|---|---|---|---|---|")
	}
	results, err := trial.Run(scenarios, rules, command.Duration, func(result trial.Result) {
		if !command.JSON {
			printTrial(streams, result)
		}
	})
	if err != nil {
		return err
	}
	if err := command.draw(results); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(streams.Out, results)
	}
	return nil
}

// draw writes a plot of each scenario under our own rules.
func (command *trialCommand) draw(results []trial.Result) error {
	if command.Report == "" {
		return nil
	}
	if err := os.MkdirAll(command.Report, folderMode); err != nil {
		return errors.Wrap(err, "make the folder for plots")
	}
	for _, result := range results {
		if result.Rule != trial.Rules()[0].Name {
			continue
		}
		file := filepath.Join(command.Report, "trial-"+result.Scenario[:1]+".svg")
		if err := result.Report.Plot(result.Scenario, file); err != nil {
			return err
		}
	}
	return nil
}

func printTrial(streams *streams, result trial.Result) {
	shares := map[string]float64{}
	refused, late, failed := 0, 0, 0
	for _, class := range result.Report.Classes {
		shares[class.Class] = class.InTargetShare
		refused += class.Refused
		late += class.RefusedLate
		failed += class.Failed
	}
	_, _ = fmt.Fprintf(streams.Out, "| %s | %s | %.3f / %.3f | %.3f / %.3f | %.0f | %.3f | %.3f | %d | %d | %d |\n", result.Scenario, result.Rule,
		shares["urgent"], shares["report"], result.UrgentBefore, result.UrgentAfter, result.Goodput, result.Wasted, result.Retries, refused, late, failed)
}
