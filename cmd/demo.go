package cmd

import (
	"fmt"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/platform/standin"
)

type demoCommand struct {
	BasePort int    `default:"7000" help:"First port. All listeners are at fixed offsets from it."`
	Platform bool   `help:"Run gateway nodes with a stand-in of the users' platform."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Minimum log level: ${enum}."`
}

// Help gives an example.
func (command *demoCommand) Help() string {
	return "Example:\n  hazelslip demo --base-port 7000\n  hazelslip demo --platform\n\nThe command prints addresses and example calls, and stops gracefully on an interrupt."
}

// Run runs the deployment until a signal stops it.
func (command *demoCommand) Run(outputs *outputs) error {
	if command.Platform {
		return command.runPlatform(outputs)
	}
	stop := stopSignals()
	environment, err := demo.NewEnvironment(demo.BasePort(command.BasePort))
	if err != nil {
		return err
	}
	defer environment.Stop()
	nodes := []*node.Node{}
	defer func() { stopAll(nodes) }()
	for _, nodeSettings := range environment.Settings() {
		entryNode, err := node.New(nodeSettings, node.Logger(newLogger(outputs.Err, command.LogLevel).With("Node", nodeSettings.Name)))
		if err != nil {
			return err
		}
		entryNode.Start()
		nodes = append(nodes, entryNode)
	}
	_, operators, _ := nodes[0].Addresses()
	if err := demo.SubmitClasses("http://" + operators); err != nil {
		return err
	}
	printNodes(outputs, nodes)
	<-stop
	_, _ = fmt.Fprintln(outputs.Out, "stopping")
	return nil
}

// runPlatform runs three gateway nodes with a stand-in of the users' platform.
func (command *demoCommand) runPlatform(outputs *outputs) error {
	stop := stopSignals()
	offsets := map[string]int{"store": 0, "caller": 10, "readiness": 20, "operator": 30, "peer": 40, "detour": 60, "server": 100}
	deployment := standin.New(
		standin.Shape{Nodes: 3, Domains: 3, Servers: 8, Ledgers: 2, Seed: 1, Heartbeat: heartbeat},
		standin.Addresses(func(role string, number int) string {
			return fmt.Sprintf("127.0.0.1:%d", command.BasePort+offsets[role]+number)
		}),
		standin.Logger(newLogger(outputs.Err, command.LogLevel)),
	)
	if err := deployment.Start(); err != nil {
		return err
	}
	defer deployment.Stop()
	controlAddress := fmt.Sprintf("127.0.0.1:%d", command.BasePort+controlOffset)
	control, err := serveControl(deployment, controlAddress)
	if err != nil {
		return err
	}
	defer control.Close()
	for _, settings := range deployment.Settings {
		_, _ = fmt.Fprintf(outputs.Out, "node: callers http://%s  operators http://%s\n", settings.Listen.Caller, settings.Listen.Operator)
	}
	_, _ = fmt.Fprint(outputs.Out, deployment.Examples())
	_, _ = fmt.Fprintf(outputs.Out, restoreExample, controlAddress, controlAddress)
	<-stop
	_, _ = fmt.Fprintln(outputs.Out, "stopping")
	return nil
}

// controlOffset is the offset of the stand-in's control port, which injects faults, from the base port.
const controlOffset = 50

const restoreExample = `Restore the store from a backup that is 5 s old:
  curl -X POST 'http://%s/store?away=true' && sleep 1 && curl -X POST 'http://%s/store?restore=5s'
`

func stopAll(nodes []*node.Node) {
	stops := conc.NewWaitGroup()
	for _, entryNode := range nodes {
		stops.Go(entryNode.Stop)
	}
	stops.Wait()
}

func printNodes(outputs *outputs, nodes []*node.Node) {
	for _, entryNode := range nodes {
		callers, operators, peers := entryNode.Addresses()
		_, _ = fmt.Fprintf(outputs.Out, "node: callers http://%s  operators http://%s  peers %s\n", callers, operators, peers)
	}
	callers, operators, _ := nodes[0].Addresses()
	_, _ = fmt.Fprintf(outputs.Out, examples, callers, callers, callers, callers, operators, operators)
}

const examples = `
Groups form within a few seconds. Then try:
  curl -N http://%s/v1/chat/completions -H 'Hazelslip-Class: urgent' -H 'Hazelslip-Workspace: visits' \
    -d '{"messages":[{"role":"user","content":"Draft the visit report."}],"stream":true,"max_tokens":20}'
  curl http://%s/v1/models
  curl -X POST http://%s/services/scheduling/slots -H 'Idempotency-Key: visit-1' -d '{"Slot":"Tuesday 9:00"}' -i
  curl -X POST http://%s/tickets
  hazelslip groups --node http://%s
  hazelslip class list --node http://%s
Stop with an interrupt.
`
