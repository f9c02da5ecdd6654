package cmd

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"

	"hazelslip/internal/peer/operator"
	"hazelslip/internal/run/settings"
)

type groupsCommand struct {
	nodeFlag
	JSON bool `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *groupsCommand) Help() string {
	return "Example:\n  hazelslip groups --node http://127.0.0.1:8081"
}

// Run lists the groups of the node's data centre.
func (command *groupsCommand) Run(outputs *outputs) error {
	lines := []operator.GroupInfo{}
	if err := command.client().Get("/Groups", &lines); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, lines)
	}
	table := tabwriter.NewWriter(outputs.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "GROUP\tDOMAIN\tMODEL\tMEMBERS\tSERVING\tRUNNING\tWHY NOT\tWAITS FOR")
	for _, line := range lines {
		serving := fmt.Sprint(line.Serving)
		if line.Draining {
			serving = "draining"
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", line.Number, line.FabricDomain, line.Model,
			len(line.Members), serving, line.Running, line.Cause, line.WaitsFor)
	}
	return table.Flush()
}

type explainCommand struct {
	nodeFlag
	Subject string `arg:"" help:"ID of a request, as in the header Hazelslip-Request, or the number of a group."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *explainCommand) Help() string {
	return "Example:\n  hazelslip explain req-0123456789\n  hazelslip explain 16777217"
}

// Run prints the explanation.
func (command *explainCommand) Run(outputs *outputs) error {
	explanation := operator.Explanation{}
	if err := command.client().Get("/Explain/"+url.PathEscape(command.Subject), &explanation); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, explanation)
	}
	_, _ = fmt.Fprintln(outputs.Out, explanation.Subject)
	for _, line := range explanation.Lines {
		_, _ = fmt.Fprintln(outputs.Out, "  "+line)
	}
	return nil
}

type bookingCommand struct {
	Show bookingShowCommand `cmd:"" help:"Show the record of an idempotency key."`
}

type bookingShowCommand struct {
	nodeFlag
	Service string `arg:"" help:"Name of the service."`
	Key     string `arg:"" help:"The call's Idempotency-Key."`
}

// Help gives an example.
func (command *bookingShowCommand) Help() string {
	return "Example:\n  hazelslip booking show scheduling visit-1"
}

// Run prints the record of the key as JSON.
func (command *bookingShowCommand) Run(outputs *outputs) error {
	line := operator.BookingInfo{}
	if err := command.client().Get("/Bookings/"+url.PathEscape(command.Service)+"/"+url.PathEscape(command.Key), &line); err != nil {
		return err
	}
	return printJSON(outputs.Out, line)
}

type stateCommand struct {
	nodeFlag
}

// Help gives an example.
func (command *stateCommand) Help() string {
	return "Example:\n  hazelslip state --node http://127.0.0.1:8081"
}

// Run prints the state of the node as JSON.
func (command *stateCommand) Run(outputs *outputs) error {
	var state json.RawMessage
	if err := command.client().Get("/State", &state); err != nil {
		return err
	}
	_, err := fmt.Fprintln(outputs.Out, string(state))
	return err
}

type checkSettingsCommand struct {
	File string `arg:"" type:"existingfile" help:"TOML file with a node's settings."`
}

// Help gives an example.
func (command *checkSettingsCommand) Help() string {
	return "Example:\n  hazelslip check-settings entry-1.toml"
}

// Run validates the file. The error has one line for each invalid setting.
func (command *checkSettingsCommand) Run(outputs *outputs) error {
	if _, err := settings.Load(command.File); err != nil {
		return exitWith(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(outputs.Out, "%s is valid\n", command.File)
	return nil
}
