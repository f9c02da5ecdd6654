package capacity

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/mat"
)

// Term is one thing that a cost grows with.
type Term struct {
	Name string
	Of   func(point Point) float64
}

// Fit is a straight line through samples: a constant and a slope for each
// term. Error is the root mean square of what the line misses.
type Fit struct {
	Terms    []Term
	Constant float64
	Slopes   []float64
	Error    float64
}

// At is the line's value at a point, never below zero.
func (fit Fit) At(point Point) float64 {
	value := fit.Constant
	for index, term := range fit.Terms {
		value += fit.Slopes[index] * term.Of(point)
	}
	return max(0, value)
}

// Line fits the samples by least squares.
func Line(samples []Sample, cost func(sample Sample) float64, terms ...Term) (Fit, error) {
	rows, columns := len(samples), len(terms)+1
	if rows < columns {
		return Fit{}, errors.Newf("%d samples are too few for %d terms", rows, len(terms))
	}
	design, costs := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	for row, sample := range samples {
		design.Set(row, 0, 1)
		for index, term := range terms {
			design.Set(row, index+1, term.Of(sample.Point))
		}
		costs.SetVec(row, cost(sample))
	}
	solution := mat.NewVecDense(columns, nil)
	if err := solution.SolveVec(design, costs); err != nil {
		return Fit{}, errors.Wrap(err, "fit a line; the samples do not tell the terms apart")
	}
	fit := Fit{Terms: terms, Constant: solution.AtVec(0)}
	for index := range terms {
		fit.Slopes = append(fit.Slopes, solution.AtVec(index+1))
	}
	fit.Error = fit.residual(samples, cost)
	return fit, nil
}

func (fit Fit) residual(samples []Sample, cost func(sample Sample) float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		missed := cost(sample) - fit.At(sample.Point)
		sum += missed * missed
	}
	return math.Sqrt(sum / float64(len(samples)))
}

// The terms that control costs grow with.
var (
	peers = Term{"peers in the data centre", func(point Point) float64 { return float64(point.Nodes - 1) }}
	// watched is a node's part of the data centre's servers.
	watched = Term{"servers that the node watches", func(point Point) float64 { return float64(point.Servers) / float64(point.Nodes) }}
	servers = Term{"servers in the data centre", func(point Point) float64 { return float64(point.Servers) }}
	centres = Term{"other data centres asked", func(point Point) float64 { return float64(point.DataCentres - 1) }}
	changes = Term{"changes a second", func(point Point) float64 { return float64(point.ChangesPerSecond) }}
)
