package capacity

import (
	"context"
	"encoding/json"
	"runtime/pprof"
	"time"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/run/load"
)

// DataPath is what a node spends on drafts.
type DataPath struct {
	Requests         int
	Tokens           int
	TokensPerSecond  float64
	Cores            float64
	MicrosPerToken   float64
	MicrosPerRequest float64
	Whole            int
}

// Dump is what one state dump costs.
type Dump struct {
	Bytes  int
	Micros float64
}

// dump takes the state of a node as an operator's request does.
func dump(running *deployment) (Dump, error) {
	const times = 20
	began, size := time.Now(), 0
	for range times {
		body, err := json.Marshal(running.nodes[0].State())
		if err != nil {
			return Dump{}, err
		}
		size = len(body)
	}
	return Dump{Bytes: size, Micros: float64(time.Since(began).Microseconds()) / times}, nil
}

const (
	loadLabel  = "load"
	loadRate   = 60
	loadTokens = 400
	warmLoad   = time.Second
)

// MeasureDataPath sends streamed drafts through one node and attributes the
// processor time of its caller side, engine connections included, to tokens.
func MeasureDataPath(duration time.Duration) (DataPath, Dump, error) {
	running, err := deploy(Point{DataCentres: 1, Nodes: 1, Servers: 80})
	if err != nil {
		return DataPath{}, Dump{}, err
	}
	defer running.stop()
	callers, _, _ := running.nodes[0].Addresses()
	plan := load.Plan{
		Targets: []string{"http://" + callers}, Rate: loadRate, Duration: duration, Seed: 1,
		Mix: []load.Share{{Class: "report", Weight: 1, Workspaces: 5, PromptBytes: 1200, MaxTokens: loadTokens, FirstToken: 1800 * time.Millisecond, BetweenTokens: 34 * time.Millisecond}},
	}
	var report load.Report
	began := time.Now()
	spent, err := profiled(func() {
		pprof.Do(context.Background(), pprof.Labels(lifecycle.Label, loadLabel), func(ctx context.Context) {
			report, err = load.Run(ctx, plan)
		})
	})
	if err != nil {
		return DataPath{}, Dump{}, err
	}
	took := time.Since(began).Seconds()
	dumped, err := dump(running)
	if err != nil {
		return DataPath{}, Dump{}, err
	}
	class := report.Classes[0]
	caller := spent.byPart["caller"]
	labelled := spent.total - spent.byPart[unlabelled]
	caller += spent.byPart[unlabelled] * caller / labelled
	const micros = 1e6
	return DataPath{
		Requests: class.Sent, Tokens: class.Tokens, Whole: class.Whole, TokensPerSecond: float64(class.Tokens) / took,
		Cores: caller / took, MicrosPerToken: caller * micros / float64(class.Tokens),
		MicrosPerRequest: caller * micros / float64(class.Sent),
	}, dumped, nil
}
