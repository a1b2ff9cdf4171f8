package main

import (
	"cmp"
	"errors"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hollymast/internal/history"
	"hollymast/internal/program"
)

// shown gives a row's figure.
func shown(what string, r history.Row) float64 {
	switch what {
	case "in-time":
		return float64(r.WithinObjective) / float64(max(1, r.Requests))
	case "pushed-back":
		return float64(r.Rejected)
	case "killed":
		return float64(r.Failed)
	case "loads":
		return float64(r.Loads)
	case "p50":
		return float64(r.Quantile(0.5)) / 1000
	case "p99":
		return float64(r.Quantile(0.99)) / 1000
	}
	return float64(r.Requests)
}

// titles name the axes.
var titles = map[string]string{"jobs": "jobs", "in-time": "share in time", "pushed-back": "jobs pushed back", "killed": "jobs killed",
	"loads": "loads", "p50": "median execution, ms", "p99": "99th percentile of executions, ms"}

// colours tell eight lines apart in print and for the colour-blind (after Okabe and Ito); further lines repeat them.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}, color.RGBA{150, 140, 0, 255}}

// draw draws a line for each function and tenant, those with most jobs first, into a file whose ending tells its form.
func draw(file, what string, most int, rows []history.Row) error {
	if ending := filepath.Ext(file); ending != ".png" && ending != ".svg" {
		return program.UsageError{Err: errors.New(file + " is neither .png nor .svg")}
	}
	if len(rows) == 0 {
		return errors.New("nothing to draw: no row is in that time")
	}
	lines, jobs := map[history.Subject]plotter.XYs{}, map[history.Subject]int64{}
	var order []history.Subject
	for _, r := range rows {
		if lines[r.Subject] == nil {
			order = append(order, r.Subject)
		}
		lines[r.Subject] = append(lines[r.Subject], plotter.XY{X: float64(r.At) / 1e6, Y: shown(what, r)})
		jobs[r.Subject] += r.Requests
	}
	slices.SortStableFunc(order, func(a, b history.Subject) int { return cmp.Compare(jobs[b], jobs[a]) })
	p := plot.New()
	p.Y.Label.Text, p.X.Label.Text = titles[what], "time (UTC)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, w := range order[:min(len(order), max(1, most))] {
		line, points, err := plotter.NewLinePoints(lines[w])
		if err != nil {
			return err
		}
		line.Color, points.Color = colours[i%len(colours)], colours[i%len(colours)]
		points.Radius = vg.Points(1.5)
		p.Add(line, points)
		name := cmp.Or(w.Function, "all")
		if w.Tenant != "" {
			name += ", " + w.Tenant
		}
		p.Legend.Add(name, line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}
