package cmd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"hazelslip/internal/run/demo"
	"hazelslip/platform/standin"
)

type standinCommand struct {
	BasePort      int    `default:"7000" help:"First port. The stand-ins and nodes use fixed offsets from it."`
	WriteSettings string `type:"path" help:"Write a settings file for each node to this folder."`

	Platform      bool   `help:"Run the stand-in of the users' platform: its store and its servers."`
	Domains       int    `default:"3" help:"With --platform: number of fabric domains, one per data centre."`
	Servers       int    `default:"8" help:"With --platform: number of servers in each domain."`
	Ledgers       int    `default:"3" help:"With --platform: number of plain servers."`
	Seed          uint64 `default:"1" help:"With --platform: seed of the servers' random behaviour."`
	Control       string `placeholder:"HOST:PORT" help:"With --platform: address of the control endpoint, which injects faults and returns observations."`
	AdvertiseHost string `placeholder:"HOST" help:"With --platform: host at which nodes reach the servers, on the same ports."`
}

// Help gives an example.
func (command *standinCommand) Help() string {
	return "Example:\n  hazelslip standin --base-port 7000 --write-settings settings\n  hazelslip node --settings settings/lakes-a-entry-1.toml"
}

// Run runs the stand-ins until a signal stops them.
func (command *standinCommand) Run(outputs *outputs) error {
	if command.Platform {
		return command.runPlatform(outputs)
	}
	stop := stopSignals()
	environment, err := demo.NewEnvironment(demo.BasePort(command.BasePort))
	if err != nil {
		return err
	}
	defer environment.Stop()
	if command.WriteSettings != "" {
		if err := writeSettings(command.WriteSettings, environment); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(outputs.Out, "the stand-ins listen on ports from %d; stop them with an interrupt\n", command.BasePort)
	<-stop
	return nil
}

// Ports of the platform's stand-in, as offsets from the base port.
const (
	storeOffset  = 0
	serverOffset = 100
)

// runPlatform runs the stand-in of the platform's store and servers.
func (command *standinCommand) runPlatform(outputs *outputs) error {
	stop := stopSignals()
	offsets := map[string]int{"store": storeOffset, "server": serverOffset}
	options := []standin.Option{standin.Addresses(func(role string, number int) string {
		return fmt.Sprintf("127.0.0.1:%d", command.BasePort+offsets[role]+number)
	})}
	if host := command.AdvertiseHost; host != "" {
		options = append(options, standin.Advertised(func(address string) string {
			_, port, _ := strings.Cut(address, ":")
			return net.JoinHostPort(host, port)
		}))
	}
	shape := standin.Shape{
		Domains: command.Domains, Servers: command.Servers, Ledgers: command.Ledgers, Seed: command.Seed, Heartbeat: heartbeat,
	}
	deployment := standin.New(shape, options...)
	if err := deployment.Start(); err != nil {
		return err
	}
	defer deployment.Stop()
	if command.Control != "" {
		control, err := serveControl(deployment, command.Control)
		if err != nil {
			return err
		}
		defer control.Close()
	}
	_, _ = fmt.Fprintf(outputs.Out, "the platform stand-in listens on ports from %d; stop it with an interrupt\n", command.BasePort)
	<-stop
	return nil
}

const (
	controlTimeout = 5 * time.Second
	// heartbeat is the interval at which the stand-in's servers write their registry entries.
	heartbeat = 1200 * time.Millisecond
)

// serveControl serves the control endpoint of a deployment, which injects faults.
func serveControl(deployment *standin.Deployment, address string) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the control address")
	}
	control := &http.Server{Addr: address, Handler: deployment.Control(), ReadHeaderTimeout: controlTimeout}
	deployment.Go(func() { _ = control.Serve(listener) })
	return control, nil
}

const (
	folderMode = 0o755
	fileMode   = 0o644
)

func writeSettings(folder string, environment *demo.Environment) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the folder for settings")
	}
	for _, nodeSettings := range environment.Settings() {
		body, err := toml.Marshal(nodeSettings)
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(filepath.Join(folder, nodeSettings.Name+".toml"), body, fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}
