package cmd

import (
	"fmt"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
)

type demoCommand struct {
	BasePort int    `default:"7000" help:"First port; everything listens at fixed offsets from it."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Least level of the logs: ${enum}."`
}

// Help gives an example.
func (command *demoCommand) Help() string {
	return "Example:\n  hazelslip demo --base-port 7000\n\nIt prints addresses and example calls, and stops gracefully on an interrupt."
}

// Run runs the deployment until it is told to stop.
func (command *demoCommand) Run(streams *streams) error {
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
