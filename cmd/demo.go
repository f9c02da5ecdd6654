package cmd

import (
	"fmt"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/platform/standin"
)

type demoCommand struct {
	BasePort int    `default:"7000" help:"First port; everything listens at fixed offsets from it."`
	Platform bool   `help:"Run nodes of the users' platform before a stand-in of it."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Least level of the logs: ${enum}."`
}

// Help gives an example.
func (command *demoCommand) Help() string {
	return "Example:\n  hazelslip demo --base-port 7000\n  hazelslip demo --platform\n\nIt prints addresses and example calls, and stops gracefully on an interrupt."
}

// Run runs the deployment until it is told to stop.
func (command *demoCommand) Run(streams *streams) error {
	if command.Platform {
		return command.runPlatform(streams)
	}
	stop := interrupted()
	world, err := demo.NewWorld(demo.BasePort(command.BasePort))
	if err != nil {
		return err
	}
	defer world.Stop()
	nodes := []*node.Node{}
	defer func() { stopAll(nodes) }()
	for _, tree := range world.Settings() {
		created, err := node.New(tree, node.Logger(newLogger(streams.Err, command.LogLevel).With("Node", tree.Name)))
		if err != nil {
			return err
		}
		created.Start()
		nodes = append(nodes, created)
	}
	_, operators, _ := nodes[0].Addresses()
	if err := demo.StateClasses("http://" + operators); err != nil {
		return err
	}
	describe(streams, nodes)
	<-stop
	_, _ = fmt.Fprintln(streams.Out, "stopping")
	return nil
}

// runPlatform runs three nodes before a stand-in of the platform.
func (command *demoCommand) runPlatform(streams *streams) error {
	stop := interrupted()
	offsets := map[string]int{"store": 0, "caller": 10, "readiness": 20, "operator": 30, "peer": 40, "detour": 60, "server": 100}
	deployment := standin.New(
		standin.Shape{Nodes: 3, Domains: 3, Servers: 8, Ledgers: 2, Seed: 1, Heartbeat: heartbeat},
		standin.Addresses(func(place string, number int) string {
			return fmt.Sprintf("127.0.0.1:%d", command.BasePort+offsets[place]+number)
		}),
		standin.Logger(newLogger(streams.Err, command.LogLevel)),
	)
	if err := deployment.Start(); err != nil {
		return err
	}
	defer deployment.Stop()
	controlled := fmt.Sprintf("127.0.0.1:%d", command.BasePort+controlOffset)
	control, err := serveControl(deployment, controlled)
	if err != nil {
		return err
	}
	defer control.Close()
	for _, settings := range deployment.Settings {
		_, _ = fmt.Fprintf(streams.Out, "node: callers http://%s  operators http://%s\n", settings.Listen.Caller, settings.Listen.Operator)
	}
	_, _ = fmt.Fprint(streams.Out, deployment.Examples())
	_, _ = fmt.Fprintf(streams.Out, drillExample, controlled, controlled)
	<-stop
	_, _ = fmt.Fprintln(streams.Out, "stopping")
	return nil
}

// controlOffset is the port of the stand-in's faults, from the base port on.
const controlOffset = 50

const drillExample = `The store comes back from a copy that is 5 s old:
  curl -X POST 'http://%s/store?away=true' && sleep 1 && curl -X POST 'http://%s/store?restore=5s'
`

func stopAll(nodes []*node.Node) {
	stops := conc.NewWaitGroup()
	for _, running := range nodes {
		stops.Go(running.Stop)
	}
	stops.Wait()
}

func describe(streams *streams, nodes []*node.Node) {
	for _, running := range nodes {
		callers, operators, peers := running.Addresses()
		_, _ = fmt.Fprintf(streams.Out, "node: callers http://%s  operators http://%s  peers %s\n", callers, operators, peers)
	}
	callers, operators, _ := nodes[0].Addresses()
	_, _ = fmt.Fprintf(streams.Out, examples, callers, callers, callers, callers, operators, operators)
}

const examples = `
Groups form within some seconds. Then try:
  curl -N http://%s/v1/chat/completions -H 'Hazelslip-Class: urgent' -H 'Hazelslip-Workspace: visits' \
    -d '{"messages":[{"role":"user","content":"Draft the visit report."}],"stream":true,"max_tokens":20}'
  curl http://%s/v1/models
  curl -X POST http://%s/services/scheduling/slots -H 'Idempotency-Key: visit-1' -d '{"Slot":"Tuesday 9:00"}' -i
  curl -X POST http://%s/tickets
  hazelslip groups --node http://%s
  hazelslip class list --node http://%s
Stop with an interrupt.
`
