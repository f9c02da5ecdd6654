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

// colours tell the classes apart, also for readers who see few colours.
var colours = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

// Plot draws, for each class, the share of the requests sent in each second
// that met their target. The file's ending says the format: .svg or .png.
func (report Report) Plot(title, file string) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = "second in which the request was sent"
	drawing.Y.Label.Text = "in target"
	drawing.Y.Min, drawing.Y.Max = 0, 1.05
	drawing.Legend.Top = false
	for index, class := range report.Classes {
		points := plotter.XYs{}
		for _, second := range report.Timeline {
			if second.Class == class.Class {
				points = append(points, plotter.XY{X: float64(second.At), Y: float64(second.InTarget) / float64(max(1, second.Sent))})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "draw class %s", class.Class)
		}
		line.Color = colours[index%len(colours)]
		line.Width = vg.Points(1.5)
		drawing.Add(line)
		drawing.Legend.Add(class.Class, line)
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, file), "write the plot")
}
