// Package cmd holds the command line, one file a command.
//
// # Usage
//
//	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/operator"
)

// The exit codes that scripts can rely on.
const (
	// ExitOK: the command did what was asked.
	ExitOK = 0
	// ExitFailed: it could not be done.
	ExitFailed = 1
	// ExitUsage: the arguments or the settings are wrong.
	ExitUsage = 2
	// ExitConflict: a change lost against another.
	ExitConflict = 3
	// ExitNotFound: there is no such thing.
	ExitNotFound = 4
)

// commands is the command line as kong reads it.
type commands struct {
	Version kong.VersionFlag `help:"Print the version."`

	Demo          demoCommand          `cmd:"" help:"Run a small deployment on loopback, with stand-ins for everything around it."`
	Node          nodeCommand          `cmd:"" help:"Run an entry node."`
	Gateway       gatewayCommand       `cmd:"" help:"Run an entry node on the users' platform."`
	Standin       standinCommand       `cmd:"" help:"Run the stand-ins of the platform, the engines and a service."`
	Class         classCommand         `cmd:"" help:"State and change targets of classes."`
	Groups        groupsCommand        `cmd:"" help:"List the replica groups."`
	Explain       explainCommand       `cmd:"" help:"Tell why a request or a group went the way it did."`
	Booking       bookingCommand       `cmd:"" help:"Look at calls that may not be repeated."`
	State         stateCommand         `cmd:"" help:"Dump the state of a node."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file."`
	Trial         trialCommand         `cmd:"" hidden:"" help:"Measure targets under surges and faults beside simpler rules."`
	Soak          soakCommand          `cmd:"" hidden:"" help:"Run processes under faults and check what is promised."`
	Load          loadCommand          `cmd:"" help:"Send a mix of requests and measure the answers."`
}

// streams is where a command writes.
type streams struct {
	Out io.Writer
	Err io.Writer
}

// exitError carries an exit code.
type exitError struct {
	code  int
	cause error
}

// Error tells the cause.
func (exit *exitError) Error() string { return exit.cause.Error() }

// Unwrap returns the cause.
func (exit *exitError) Unwrap() error { return exit.cause }

func exitWith(code int, cause error) error {
	return &exitError{code: code, cause: cause}
}

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, failures io.Writer) (code int) {
	line := commands{}
	exited := -1
	parser, err := kong.New(
		&line,
		kong.Name("hazelslip"),
		kong.Description("Serve models whose replicas span several instances."),
		kong.UsageOnError(),
		kong.Writers(out, failures),
		kong.Exit(func(code int) { exited = code; panic(exitPanic{}) }),
		kong.Vars{"version": version()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(failures, "hazelslip:", err)
		return ExitUsage
	}
	// kong ends the process on --help and --version; here it unwinds instead,
	// so that tests can run commands.
	defer func() {
		if reason := recover(); reason != nil {
			if _, ended := reason.(exitPanic); !ended {
				panic(reason)
			}
			code = exited
		}
	}()
	context, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(failures, "hazelslip: %v. See hazelslip --help.\n", err)
		return ExitUsage
	}
	return report(context.Run(&streams{Out: out, Err: failures}), failures)
}

type exitPanic struct{}

func report(err error, failures io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(failures, "hazelslip: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if isNotFound(err) {
		return ExitNotFound
	}
	return ExitFailed
}

func isNotFound(err error) bool {
	var status *operator.StatusError
	return errors.As(err, &status) && status.Code == http.StatusNotFound
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "hazelslip (unknown build)"
	}
	revision := "no revision"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return fmt.Sprintf("hazelslip %s (%s, %s)", info.Main.Version, revision, info.GoVersion)
}

func newLogger(out io.Writer, level string) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: logLevel(level)}))
}

// logLevel reads a level; kong has checked that it is one.
func logLevel(level string) slog.Level {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		parsed = slog.LevelInfo
	}
	return parsed
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// target is the flag of commands that ask a node.
type target struct {
	Node string `default:"http://127.0.0.1:8081" env:"HAZELSLIP_NODE" help:"URL of the node's operator address."`
}

func (target target) client() operator.Client {
	return operator.Client{Base: target.Node}
}
