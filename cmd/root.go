// Package cmd implements the command line. Most commands have their own file.
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

// Exit codes. Scripts rely on them.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, the settings or the requested change are invalid.
	ExitUsage = 2
	// ExitConflict means that a change conflicts with a concurrent change.
	ExitConflict = 3
	// ExitNotFound means that the requested object does not exist.
	ExitNotFound = 4
)

// commands is the command line that kong parses.
type commands struct {
	Version kong.VersionFlag `help:"Print the version."`

	Demo          demoCommand          `cmd:"" help:"Run a small deployment on loopback, with stand-ins for the platform, engines and a service."`
	Node          nodeCommand          `cmd:"" help:"Run an entry node."`
	Gateway       gatewayCommand       `cmd:"" help:"Run an entry node on the users' platform."`
	Standin       standinCommand       `cmd:"" help:"Run the stand-ins of the platform, the engines and a service."`
	Class         classCommand         `cmd:"" help:"Show and change classes and their targets."`
	Groups        groupsCommand        `cmd:"" help:"List the replica groups."`
	Explain       explainCommand       `cmd:"" help:"Explain the decisions about a request or a group."`
	Booking       bookingCommand       `cmd:"" help:"Inspect non-idempotent calls."`
	State         stateCommand         `cmd:"" help:"Dump the state of a node."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file."`
	Trial         trialCommand         `cmd:"" hidden:"" help:"Compare hazelslip with simpler policies under surges and faults."`
	Soak          soakCommand          `cmd:"" hidden:"" help:"Inject faults into running processes and check the guarantees."`
	Load          loadCommand          `cmd:"" help:"Send a mix of requests and measure the responses."`
}

// outputs holds the output streams of a command.
type outputs struct {
	Out io.Writer
	Err io.Writer
}

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (exit *exitError) Error() string { return exit.cause.Error() }

// Unwrap returns the cause.
func (exit *exitError) Unwrap() error { return exit.cause }

func exitWith(code int, cause error) error {
	return &exitError{code: code, cause: cause}
}

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) (code int) {
	commandLine := commands{}
	exitCode := -1
	parser, err := kong.New(
		&commandLine,
		kong.Name("hazelslip"),
		kong.Description("Serve models whose replicas span several instances."),
		kong.UsageOnError(),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exitCode = code; panic(exitSignal{}) }),
		kong.Vars{"version": version()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "hazelslip:", err)
		return ExitUsage
	}
	// kong exits the process on --help and --version. Here it panics with
	// exitSignal instead, so that tests can run commands in their own process.
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, isExit := recovered.(exitSignal); !isExit {
				panic(recovered)
			}
			code = exitCode
		}
	}()
	context, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "hazelslip: %v. See hazelslip --help.\n", err)
		return ExitUsage
	}
	return report(context.Run(&outputs{Out: out, Err: errOut}), errOut)
}

type exitSignal struct{}

func report(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "hazelslip: %v\n", err)
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

// logLevel parses a log level that kong has validated.
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

// nodeFlag is the flag of commands that query a node.
type nodeFlag struct {
	Node string `default:"http://127.0.0.1:8081" env:"HAZELSLIP_NODE" help:"URL of the node's operator address."`
}

func (nodeFlag nodeFlag) client() operator.Client {
	return operator.Client{Base: nodeFlag.Node}
}
