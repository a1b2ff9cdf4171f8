package chaostest

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// curve is one line of a plot.
type curve struct {
	name  string
	value func(s SecondStats) float64
	color color.Color
}

// Plot draws a run into a PNG file: counts per second, and shares scaled to the height of the plot.
func Plot(seconds []SecondStats, title, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "per second"
	top := 0.0
	for _, s := range seconds {
		top = max(top, float64(s.Requests))
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max = 1.4 * top // room for the legend
	for len(seconds) > 1 && seconds[len(seconds)-1].Calls == 0 {
		seconds = seconds[:len(seconds)-1]
	}
	for _, c := range curves(top) {
		var points plotter.XYs
		for i, s := range seconds {
			points = append(points, plotter.XY{X: float64(i), Y: c.value(s)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = c.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	return p.Save(9*vg.Inch, 4.5*vg.Inch, file)
}

// curves returns the lines of a plot in which a share of 1 is drawn at top.
func curves(top float64) []curve {
	return []curve{
		{"requests", func(s SecondStats) float64 { return float64(s.Requests) }, color.RGBA{120, 120, 120, 255}},
		{"calls", func(s SecondStats) float64 { return float64(s.Calls) }, color.RGBA{0, 0, 0, 255}},
		{"rejected", func(s SecondStats) float64 { return float64(s.Rejected) }, color.RGBA{200, 60, 40, 255}},
		{"loads", func(s SecondStats) float64 { return float64(s.Loads) }, color.RGBA{40, 120, 200, 255}},
		{"without a response", func(s SecondStats) float64 { return float64(s.Outstanding) }, color.RGBA{150, 80, 170, 255}},
		{fmt.Sprintf("slow start: largest use of a budget (budget = %.0f)", top), func(s SecondStats) float64 { return top * s.SlowStartBudgetUsed }, color.RGBA{230, 150, 30, 255}},
		{fmt.Sprintf("in time (1 = %.0f)", top), func(s SecondStats) float64 { return top * share(s.InTime, s.Calls) }, color.RGBA{30, 150, 60, 255}},
	}
}
