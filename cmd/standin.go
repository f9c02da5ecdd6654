package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"hazelslip/internal/run/demo"
)

type standinCommand struct {
	BasePort      int    `default:"7000" help:"First port; the stand-ins and nodes use fixed offsets from it."`
	WriteSettings string `type:"path" help:"Write a settings file for each node into this folder."`
}

// Help gives an example.
func (command *standinCommand) Help() string {
	return "Example:\n  hazelslip standin --base-port 7000 --write-settings settings\n  hazelslip node --settings settings/lakes-a-entry-1.toml"
}

// Run runs the stand-ins until they are told to stop.
func (command *standinCommand) Run(streams *streams) error {
	stop := interrupted()
	world, err := demo.NewWorld(demo.BasePort(command.BasePort))
	if err != nil {
		return err
	}
	defer world.Stop()
	if command.WriteSettings != "" {
		if err := writeSettings(command.WriteSettings, world); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(streams.Out, "the stand-ins listen from port %d on; stop them with an interrupt\n", command.BasePort)
	<-stop
	return nil
}

const (
	folderMode = 0o755
	fileMode   = 0o644
)

func writeSettings(folder string, world *demo.World) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make the folder for settings")
	}
	for _, tree := range world.Settings() {
		body, err := toml.Marshal(tree)
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(filepath.Join(folder, tree.Name+".toml"), body, fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}
