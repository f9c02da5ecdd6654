package load

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// colours are the line colours of the classes, distinguishable with colour blindness.
var colours = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

// Plot draws, for each class, the share of requests that met their target, by the
// second in which they were sent. The file extension selects the format: .svg or .png.
func (report Report) Plot(title, file string) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "second in which the request was sent"
	chart.Y.Label.Text = "in target"
	chart.Y.Min, chart.Y.Max = 0, 1.05
	chart.Legend.Top = false
	for index, class := range report.Classes {
		points := plotter.XYs{}
		for _, second := range report.Timeline {
			if second.Class == class.Class {
				points = append(points, plotter.XY{X: float64(second.At), Y: float64(second.InTarget) / float64(max(1, second.Sent))})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot class %s", class.Class)
		}
		line.Color = colours[index%len(colours)]
		line.Width = vg.Points(1.5)
		chart.Add(line)
		chart.Legend.Add(class.Class, line)
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, file), "write the plot")
}
