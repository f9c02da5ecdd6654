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
	target
	JSON bool `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *groupsCommand) Help() string {
	return "Example:\n  hazelslip groups --node http://127.0.0.1:8081"
}

// Run lists the groups of the node's data centre.
func (command *groupsCommand) Run(streams *streams) error {
	lines := []operator.GroupInfo{}
	if err := command.client().Get("/Groups", &lines); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(streams.Out, lines)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 4, 2, ' ', 0)
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
	target
	Subject string `arg:"" help:"A request, as in the header Hazelslip-Request, or the number of a group."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *explainCommand) Help() string {
	return "Example:\n  hazelslip explain req-0123456789\n  hazelslip explain 16777217"
}

// Run tells the story.
func (command *explainCommand) Run(streams *streams) error {
	explanation := operator.Explanation{}
	if err := command.client().Get("/Explain/"+url.PathEscape(command.Subject), &explanation); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(streams.Out, explanation)
	}
	_, _ = fmt.Fprintln(streams.Out, explanation.Subject)
	for _, line := range explanation.Lines {
		_, _ = fmt.Fprintln(streams.Out, "  "+line)
	}
	return nil
}

type bookingCommand struct {
	Show bookingShowCommand `cmd:"" help:"Show what is known about a key."`
}

type bookingShowCommand struct {
	target
	Service string `arg:"" help:"Name of the service."`
	Key     string `arg:"" help:"The call's Idempotency-Key."`
}

// Help gives an example.
func (command *bookingShowCommand) Help() string {
	return "Example:\n  hazelslip booking show scheduling visit-1"
}

// Run shows the key.
func (command *bookingShowCommand) Run(streams *streams) error {
	line := operator.BookingInfo{}
	if err := command.client().Get("/Bookings/"+url.PathEscape(command.Service)+"/"+url.PathEscape(command.Key), &line); err != nil {
		return err
	}
	return printJSON(streams.Out, line)
}

type stateCommand struct {
	target
}

// Help gives an example.
func (command *stateCommand) Help() string {
	return "Example:\n  hazelslip state --node http://127.0.0.1:8081"
}

// Run dumps the state as JSON.
func (command *stateCommand) Run(streams *streams) error {
	var state json.RawMessage
	if err := command.client().Get("/State", &state); err != nil {
		return err
	}
	_, err := fmt.Fprintln(streams.Out, string(state))
	return err
}

type checkSettingsCommand struct {
	File string `arg:"" type:"existingfile" help:"TOML file with a node's settings."`
}

// Help gives an example.
func (command *checkSettingsCommand) Help() string {
	return "Example:\n  hazelslip check-settings entry-1.toml"
}

// Run checks the file and prints one line for each mistake.
func (command *checkSettingsCommand) Run(streams *streams) error {
	if _, err := settings.Load(command.File); err != nil {
		return exitWith(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(streams.Out, "%s is valid\n", command.File)
	return nil
}
