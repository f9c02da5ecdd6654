package cmd

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"hazelslip/internal/common/logging"
	"hazelslip/internal/run/gateway"
	"hazelslip/platform"
)

type gatewayCommand struct {
	Settings      string `env:"HAZELSLIP_NODE_FILE" required:"" type:"path" help:"The platform's TOML file with the node's settings."`
	AdvertisePeer string `placeholder:"HOST:PORT" help:"Where other nodes reach this one's peer port, if it isn't the address that it listens at."`
	LogLevel      string `default:"info" enum:"debug,info,warn,error" help:"Least level of the logs: ${enum}."`
}

// Help gives an example.
func (command *gatewayCommand) Help() string {
	return "Example:\n  HAZELSLIP_NODE_FILE=/etc/hazelslip/local.toml hazelslip gateway\n\n" +
		"SIGTERM stops the node gracefully, SIGHUP makes it read its settings again."
}

const (
	// collectAt is how much the heap may grow between two collections, in
	// percent. The live heap is a few megabytes, so collecting often costs
	// little and keeps the peak low.
	collectAt = 50
	// memoryPart is the part of the memory limit at which the collector does
	// what it can to stay below.
	memoryPart = 0.7
)

// Run runs the node until it is told to stop.
func (command *gatewayCommand) Run(streams *streams) error {
	settings, err := platform.LoadSettings(command.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	settings.Listen.PeerAdvertised = command.AdvertisePeer
	debug.SetGCPercent(collectAt)
	if settings.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryBytes) * memoryPart))
	}
	sink := logging.New(streams.Out)
	sink.Start()
	defer sink.Stop()
	logger := slog.New(sink.Handler(logLevel(command.LogLevel)))
	node, err := gateway.New(settings, platform.New(settings.Store).Platform(), gateway.Logger(logger))
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := interrupted()
	node.Start()
	for {
		select {
		case <-reload:
			command.reload(node, logger)
		case <-stop:
			node.Stop()
			return nil
		}
	}
}

func (command *gatewayCommand) reload(node *gateway.Node, logger *slog.Logger) {
	settings, err := platform.LoadSettings(command.Settings)
	if err != nil {
		logger.Error("gateway: the changed settings can't be read; the old ones stay.", "Error", err.Error())
		return
	}
	node.Reload(settings)
}
