package chaostest

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot draws a day: tries, effects, refusals and loads a second, and below 1 scaled to the top the share in time.
func Plot(seconds []Second, title, file string) error {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = title, "s", "a second"
	top := 0.0
	for _, s := range seconds {
		top = max(top, float64(s.Requests))
	}
	pl.Legend.Top, pl.Legend.Left = true, true
	pl.Y.Max = 1.4 * top // room for the legend
	for len(seconds) > 1 && seconds[len(seconds)-1].Effects == 0 {
		seconds = seconds[:len(seconds)-1]
	}
	for _, l := range []struct {
		name  string
		of    func(s Second) float64
		color color.Color
	}{
		{"tries", func(s Second) float64 { return float64(s.Requests) }, color.RGBA{120, 120, 120, 255}},
		{"effects wanted", func(s Second) float64 { return float64(s.Effects) }, color.RGBA{0, 0, 0, 255}},
		{"pushed back", func(s Second) float64 { return float64(s.Rejected) }, color.RGBA{200, 60, 40, 255}},
		{"loads", func(s Second) float64 { return float64(s.Loads) }, color.RGBA{40, 120, 200, 255}},
		{"without an answer yet", func(s Second) float64 { return float64(s.Outstanding) }, color.RGBA{150, 80, 170, 255}},
		{fmt.Sprintf("new hosts' worst window (budget = %.0f)", top), func(s Second) float64 { return top * s.SlowStartBudgetUsed }, color.RGBA{230, 150, 30, 255}},
		{fmt.Sprintf("in time (1 = %.0f)", top), func(s Second) float64 { return top * float64(s.InTime) / float64(max(1, s.Effects)) }, color.RGBA{30, 150, 60, 255}},
	} {
		var xy plotter.XYs
		for i, s := range seconds {
			xy = append(xy, plotter.XY{X: float64(i), Y: l.of(s)})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = l.color, vg.Points(1.5)
		pl.Add(line)
		pl.Legend.Add(l.name, line)
	}
	return pl.Save(9*vg.Inch, 4.5*vg.Inch, file)
}
