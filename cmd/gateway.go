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
	AdvertisePeer string `placeholder:"HOST:PORT" help:"Address at which other nodes reach this node's peer port, if it differs from the listen address."`
	LogLevel      string `default:"info" enum:"debug,info,warn,error" help:"Minimum log level: ${enum}."`
}

// Help gives an example.
func (command *gatewayCommand) Help() string {
	return "Example:\n  HAZELSLIP_NODE_FILE=/etc/hazelslip/local.toml hazelslip gateway\n\n" +
		"SIGTERM stops the node gracefully, SIGHUP reloads its settings."
}

const (
	// gcPercent is how much the heap may grow between two garbage collections,
	// in percent. The live heap is a few megabytes, so frequent collections cost
	// little and keep the peak low.
	gcPercent = 50
	// memoryLimitFraction is the fraction of the node's memory limit that is set as
	// the soft memory limit of the Go runtime. The rest is for the pages of the
	// program itself and for what the kernel holds for connections.
	memoryLimitFraction = 0.6
)

// Run runs the node until a signal stops it.
func (command *gatewayCommand) Run(outputs *outputs) error {
	settings, err := platform.LoadSettings(command.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	settings.Listen.PeerAdvertised = command.AdvertisePeer
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryBytes) * memoryLimitFraction))
	}
	sink := logging.New(outputs.Out)
	sink.Start()
	defer sink.Stop()
	logger := slog.New(sink.Handler(logLevel(command.LogLevel)))
	node, err := gateway.New(settings, platform.New(settings.Store).Platform(), gateway.Logger(logger))
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := stopSignals()
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
		logger.Error("gateway: reloading the settings failed; the previous settings stay in force.", "Error", err.Error())
		return
	}
	node.Reload(settings)
}
