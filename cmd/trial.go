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
	Duration time.Duration `default:"16s" help:"Duration of the load for each rule in each scenario."`
	Scenario string        `help:"Run only scenarios whose name starts with this."`
	Rule     string        `help:"Run only the rule with this name."`
	Report   string        `type:"path" help:"Write a plot of each scenario under the default policies to this folder."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *trialCommand) Help() string {
	return "Example:\n  hazelslip trial --scenario b"
}

// Run runs the trials and prints a table.
func (command *trialCommand) Run(outputs *outputs) error {
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
		_, _ = fmt.Fprintln(outputs.Out, "| scenario | rule | in target urgent / report | urgent before / after | goodput tokens/s | wasted | retries | refused | refused late | failed |")
		_, _ = fmt.Fprintln(outputs.Out, "|---|---|---|---|---|---|---|---|---|---|")
	}
	results, err := trial.Run(scenarios, rules, command.Duration, func(result trial.Result) {
		if !command.JSON {
			printTrial(outputs, result)
		}
	})
	if err != nil {
		return err
	}
	if err := command.writePlots(results); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, results)
	}
	return nil
}

// writePlots writes a plot of each scenario under the default policies.
func (command *trialCommand) writePlots(results []trial.Result) error {
	if command.Report == "" {
		return nil
	}
	if err := os.MkdirAll(command.Report, folderMode); err != nil {
		return errors.Wrap(err, "create the folder for plots")
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

func printTrial(outputs *outputs, result trial.Result) {
	shares := map[string]float64{}
	refused, late, failed := 0, 0, 0
	for _, class := range result.Report.Classes {
		shares[class.Class] = class.InTargetShare
		refused += class.Refused
		late += class.RefusedLate
		failed += class.Failed
	}
	_, _ = fmt.Fprintf(outputs.Out, "| %s | %s | %.3f / %.3f | %.3f / %.3f | %.0f | %.3f | %.3f | %d | %d | %d |\n", result.Scenario, result.Rule,
		shares["urgent"], shares["report"], result.UrgentBefore, result.UrgentAfter, result.Goodput, result.Wasted, result.Retries, refused, late, failed)
}
