package main

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// point is one measurement of a series.
type point struct{ X, Y float64 }

// series is one named line of a chart.
type series struct {
	Name   string
	Points []point
}

// chart is a line plot of the report.
type chart struct {
	File   string // file name without extension
	Title  string
	XLabel string
	YLabel string
	LogX   bool
	LogY   bool
	Lines  []series
}

// save writes the chart as SVG and returns the file's name.
func (c chart) save(dir string) (string, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel
	p.Legend.Top = true
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	args := make([]any, 0, 2*len(c.Lines))
	for _, line := range c.Lines {
		points := make(plotter.XYs, 0, len(line.Points))
		for _, pt := range line.Points {
			points = append(points, plotter.XY{X: pt.X, Y: pt.Y})
		}
		args = append(args, line.Name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return "", fmt.Errorf("chart %q: %w", c.File, err)
	}
	name := c.File + ".svg"
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
		return "", fmt.Errorf("chart %q: %w", c.File, err)
	}
	return name, nil
}
