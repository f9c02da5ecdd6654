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
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Minimum log level: ${enum}."`
}

// Help gives an example.
func (command *nodeCommand) Help() string {
	return "Example:\n  hazelslip node --settings entry-1.toml\n\nSIGTERM or an interrupt stops the node gracefully."
}

// Run runs the node until a signal stops it.
func (command *nodeCommand) Run(outputs *outputs) error {
	nodeSettings, err := settings.Load(command.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	entryNode, err := node.New(nodeSettings, node.Logger(newLogger(outputs.Err, command.LogLevel)))
	if err != nil {
		return err
	}
	stop := stopSignals()
	entryNode.Start()
	callers, operators, peers := entryNode.Addresses()
	_, _ = fmt.Fprintf(outputs.Out, "%s serves callers at %s, operators at %s, peers at %s\n", nodeSettings.Name, callers, operators, peers)
	<-stop
	entryNode.Stop()
	<-entryNode.Done
	return nil
}

// stopSignals returns a channel that receives SIGINT and SIGTERM.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}
