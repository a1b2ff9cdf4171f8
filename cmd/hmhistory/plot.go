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

// plotValue returns the value of a row that is plotted; metric is a value of --show.
func plotValue(metric string, r history.Row) float64 {
	switch metric {
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

// axisTitles are the titles of the vertical axis, by metric.
var axisTitles = map[string]string{"jobs": "jobs", "in-time": "share in time", "pushed-back": "jobs pushed back", "killed": "jobs killed",
	"loads": "loads", "p50": "median execution, ms", "p99": "99th percentile of executions, ms"}

// lineColors distinguish eight lines in print and for color-blind readers (after Okabe and Ito). Further lines reuse them.
var lineColors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}, color.RGBA{150, 140, 0, 255}}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotRows plots a line for each of the maxLines subjects with the most requests. The file's extension, .png or .svg, is its format.
func plotRows(file, metric string, maxLines int, rows []history.Row) error {
	if extension := filepath.Ext(file); extension != ".png" && extension != ".svg" {
		return program.UsageError{Err: errors.New(file + ": file name must end in .png or .svg")}
	}
	if len(rows) == 0 {
		return errors.New("nothing to plot: no rows match in this period")
	}
	points := map[history.Subject]plotter.XYs{}
	requests := map[history.Subject]int64{}
	var subjects []history.Subject
	for _, r := range rows {
		if points[r.Subject] == nil {
			subjects = append(subjects, r.Subject)
		}
		points[r.Subject] = append(points[r.Subject], plotter.XY{X: float64(r.At) / 1e6, Y: plotValue(metric, r)})
		requests[r.Subject] += r.Requests
	}
	slices.SortStableFunc(subjects, func(a, b history.Subject) int { return cmp.Compare(requests[b], requests[a]) })
	p := newPlot(metric)
	for i, s := range subjects[:min(len(subjects), max(1, maxLines))] {
		if err := addLine(p, subjectName(s), lineColors[i%len(lineColors)], points[s]); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func newPlot(metric string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text, p.X.Label.Text = axisTitles[metric], "time (UTC)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, name string, lineColor color.Color, points plotter.XYs) error {
	line, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, markers.Color = lineColor, lineColor
	markers.Radius = vg.Points(1.5)
	p.Add(line, markers)
	p.Legend.Add(name, line)
	return nil
}

func subjectName(s history.Subject) string {
	name := cmp.Or(s.Function, "all")
	if s.Tenant != "" {
		name += ", " + s.Tenant
	}
	return name
}
