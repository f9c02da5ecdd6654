package cmd

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/operator"
)

type classCommand struct {
	List    classListCommand    `cmd:"" help:"List the classes in force."`
	Show    classShowCommand    `cmd:"" help:"Show one class."`
	Set     classSetCommand     `cmd:"" help:"Create a class or change its target."`
	Delete  classDeleteCommand  `cmd:"" help:"Delete a class."`
	History classHistoryCommand `cmd:"" help:"Show the change history of a class."`
}

type classListCommand struct {
	nodeFlag
	JSON bool `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *classListCommand) Help() string {
	return "Example:\n  hazelslip class list --node http://127.0.0.1:8081"
}

// Run lists the classes.
func (command *classListCommand) Run(outputs *outputs) error {
	lines := []operator.ClassInfo{}
	if err := command.client().Get("/Classes", &lines); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, lines)
	}
	return printClasses(outputs.Out, lines)
}

func printClasses(out io.Writer, lines []operator.ClassInfo) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NAME\tMODEL\tFIRST TOKEN\tBETWEEN TOKENS\tIN TARGET\tPRIORITY\tSHARE\tREVISION")
	for _, line := range lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d ms\t%d ms\t%g\t%d\t%g\t%d\n", line.Name, line.Model, line.FirstTokenMs,
			line.BetweenTokensMs, line.InTargetShare, line.Priority, line.GuaranteedShare, line.Revision)
	}
	return table.Flush()
}

type classShowCommand struct {
	nodeFlag
	Name string `arg:"" help:"Name of the class."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *classShowCommand) Help() string {
	return "Example:\n  hazelslip class show urgent"
}

// Run shows the class.
func (command *classShowCommand) Run(outputs *outputs) error {
	line := operator.ClassInfo{}
	if err := command.client().Get("/Classes/"+url.PathEscape(command.Name), &line); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, line)
	}
	return printClasses(outputs.Out, []operator.ClassInfo{line})
}

type classSetCommand struct {
	nodeFlag
	Name            string   `arg:"" help:"Name of the class."`
	Model           *string  `help:"Model that serves the class."`
	FirstTokenMs    *uint32  `help:"Longest acceptable time to the first token, in milliseconds."`
	BetweenTokensMs *uint32  `help:"Longest acceptable time between tokens, in milliseconds."`
	InTargetShare   *float64 `help:"Share of requests, over 0 to 1, that must meet both times."`
	Priority        *int32   `help:"Priority of the class, 0 to 1000; higher goes first."`
	GuaranteedShare *float64 `help:"Share of capacity, 0 to 1, guaranteed to the class."`
	BaseRevision    *uint64  `help:"Revision that the change is based on; by default the revision in force."`
	ChangeID        string   `help:"ID of the change; reuse the ID to retry a change whose response was lost."`
	JSON            bool     `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *classSetCommand) Help() string {
	return "Omitted values stay unchanged.\n\nExample:\n  hazelslip class set urgent --model drafting --first-token-ms 800 --between-tokens-ms 50 --in-target-share 0.99 --guaranteed-share 0.3"
}

// Run creates the class or changes its target.
func (command *classSetCommand) Run(outputs *outputs) error {
	line := operator.ClassInfo{}
	err := command.client().Get("/Classes/"+url.PathEscape(command.Name), &line)
	if err != nil && !isNotFound(err) {
		return err
	}
	change := command.change(line)
	verdict, err := command.client().Change(command.Name, change, false)
	return printVerdict(outputs.Out, change, verdict, err, command.JSON)
}

func (command *classSetCommand) change(line operator.ClassInfo) operator.Change {
	return operator.Change{
		ChangeID: changeID(command.ChangeID), Operator: operatorName(),
		BaseRevision: valueOr(command.BaseRevision, line.Revision), Model: valueOr(command.Model, line.Model),
		FirstTokenMs:    valueOr(command.FirstTokenMs, line.FirstTokenMs),
		BetweenTokensMs: valueOr(command.BetweenTokensMs, line.BetweenTokensMs),
		InTargetShare:   valueOr(command.InTargetShare, line.InTargetShare),
		Priority:        valueOr(command.Priority, line.Priority),
		GuaranteedShare: valueOr(command.GuaranteedShare, line.GuaranteedShare),
	}
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

func changeID(value string) string {
	if value != "" {
		return value
	}
	random := make([]byte, 8)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(random)
	return "change-" + hex.EncodeToString(random)
}

func operatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unknown"
}

// printVerdict prints the result of a change. A conflict has its own exit code,
// so that a script can read the class again and retry.
func printVerdict(out io.Writer, change operator.Change, verdict operator.Verdict, err error, asJSON bool) error {
	if err != nil {
		return errors.Wrapf(err, "submit change %s", change.ChangeID)
	}
	if asJSON {
		if err := printJSON(out, verdict); err != nil {
			return err
		}
	}
	switch {
	case verdict.Accepted && !asJSON:
		_, _ = fmt.Fprintf(out, "accepted as revision %d\n", verdict.Revision)
		return nil
	case verdict.Accepted:
		return nil
	case verdict.Beaten != nil:
		return exitWith(ExitConflict, errors.Newf("conflict: revision %d is in force, by change %s of %s; check it with `class show` and try again",
			verdict.Beaten.Revision, verdict.Beaten.ChangeID, verdict.Beaten.Operator))
	}
	return exitWith(ExitUsage, errors.Newf("change rejected: %s", verdict.Reason))
}

type classDeleteCommand struct {
	nodeFlag
	Name         string  `arg:"" help:"Name of the class."`
	BaseRevision *uint64 `help:"Revision that the change is based on; by default the revision in force."`
	ChangeID     string  `help:"ID of the change; reuse the ID to retry a change whose response was lost."`
	JSON         bool    `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *classDeleteCommand) Help() string {
	return "Example:\n  hazelslip class delete summary"
}

// Run submits the deletion of the class.
func (command *classDeleteCommand) Run(outputs *outputs) error {
	line := operator.ClassInfo{}
	if err := command.client().Get("/Classes/"+url.PathEscape(command.Name), &line); err != nil {
		return err
	}
	change := operator.Change{ChangeID: changeID(command.ChangeID), Operator: operatorName(), BaseRevision: valueOr(command.BaseRevision, line.Revision)}
	verdict, err := command.client().Change(command.Name, change, true)
	return printVerdict(outputs.Out, change, verdict, err, command.JSON)
}

type classHistoryCommand struct {
	nodeFlag
	Name string `arg:"" help:"Name of the class."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help gives an example.
func (command *classHistoryCommand) Help() string {
	return "Example:\n  hazelslip class history urgent"
}

// Run prints the change history.
func (command *classHistoryCommand) Run(outputs *outputs) error {
	lines := []operator.HistoryEntry{}
	if err := command.client().Get("/Classes/"+url.PathEscape(command.Name)+"/History", &lines); err != nil {
		return err
	}
	if command.JSON {
		return printJSON(outputs.Out, lines)
	}
	table := tabwriter.NewWriter(outputs.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "OFFSET\tCHANGE\tOPERATOR\tSUBMITTED\tACCEPTED\tREVISION\tREASON")
	for _, line := range lines {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%t\t%d\t%s\n", line.Offset, line.ChangeID, line.Operator,
			line.SubmittedAt.Format("2006-01-02T15:04:05Z"), line.Accepted, line.Revision, line.Reason)
	}
	return table.Flush()
}
