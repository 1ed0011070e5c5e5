package main

import (
	"encoding/json"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotCommand plots the offered load and the goodput of load runs over time.
type plotCommand struct {
	Out  string `long:"out" required:"true" description:"PNG or SVG file"`
	Args struct {
		Files []string `positional-arg-name:"MEASURES" required:"1"`
	} `positional-args:"true"`
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests/s"
	var lines []any
	for i, file := range c.Args.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		m := measures{}
		if err := json.Unmarshal(text, &m); err != nil {
			return err
		}
		p.Title.Text = m.Deployment + ": " + m.Scenario
		var offered, good plotter.XYs
		for s, second := range m.Seconds {
			offered = append(offered, plotter.XY{X: float64(s), Y: float64(second.Offered)})
			good = append(good, plotter.XY{X: float64(s), Y: float64(second.Good)})
		}
		if i == 0 {
			lines = append(lines, "offered", offered)
		}
		lines = append(lines, "completed, "+m.Mode, good)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, c.Out)
}
