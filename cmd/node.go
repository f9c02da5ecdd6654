package cmd

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
)

type nodeCommand struct {
	Settings string `required:"" type:"existingfile" help:"TOML file with the node's settings."`
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Least level of the logs: ${enum}."`
}

// Help gives an example.
func (command *nodeCommand) Help() string {
	return "Example:\n  hazelslip node --settings entry-1.toml\n\nSIGTERM or an interrupt stops the node gracefully."
}

// Run runs the node until it is told to stop.
func (command *nodeCommand) Run(streams *streams) error {
	tree, err := settings.Load(command.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	created, err := node.New(tree, node.Logger(newLogger(streams.Err, command.LogLevel)))
	if err != nil {
		return err
	}
	stop := interrupted()
	created.Start()
	callers, operators, peers := created.Addresses()
	_, _ = fmt.Fprintf(streams.Out, "%s serves callers at %s, operators at %s, peers at %s\n", tree.Name, callers, operators, peers)
	<-stop
	created.Stop()
	<-created.Done
	return nil
}

// interrupted returns a channel that gets the signals to stop.
func interrupted() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}
