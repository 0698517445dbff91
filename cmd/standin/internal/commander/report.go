package commander

import (
	"context"
	"os"

	"banyandock.example/banyandock/cmd/standin/internal/plotter"
	"banyandock.example/banyandock/cmd/standin/internal/reporter"
)

// reportCommand prints the collected results as a table, compares each side with the baseline and
// draws charts.
type reportCommand struct {
	CSV      string `arg:"--csv,required" placeholder:"FILE" help:"results of load runs"`
	SVG      string `arg:"--svg" placeholder:"FILE" help:"draw charts into this file"`
	Baseline string `arg:"--baseline" default:"direct" placeholder:"SIDE" help:"the side to compare with"`
}

func (c *reportCommand) run(_ context.Context, s streams) error {
	lines, err := reporter.ReadCSV(c.CSV)
	if err != nil {
		return err
	}
	if err := reporter.WriteTable(s.out, lines); err != nil {
		return err
	}
	s.print("\n")
	if err := reporter.WriteComparison(s.out, lines, c.Baseline); err != nil {
		return err
	}
	if c.SVG == "" {
		return nil
	}
	return drawFile(c.SVG, reporter.Charts(lines))
}

func drawFile(path string, charts []plotter.Chart) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = plotter.Draw(f, charts)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
