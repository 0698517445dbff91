package commander

import (
	"context"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/cmd/standin/internal/loader"
	"banyandock.example/banyandock/cmd/standin/internal/reporter"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
)

// errViolations is returned if an answer violates a guarantee.
var errViolations = eris.New("answers violate guarantees")

// loadCommand sends queries and prints the measured results. It fails if an answer violates a
// guarantee.
type loadCommand struct {
	settingsOptions
	Cell string  `arg:"--cell" default:"trial" placeholder:"NAME" help:"name of the experiment's cell"`
	Side string  `arg:"--side" default:"banyandock" placeholder:"NAME" help:"name of what is measured"`
	Rate float64 `arg:"--rate" placeholder:"N" help:"queries a second, in place of the settings'"`
	CSV  string  `arg:"--csv" placeholder:"FILE" help:"append the results to this file"`
}

func (c *loadCommand) run(ctx context.Context, s streams) error {
	log, err := s.log(c.LogLevel)
	if err != nil {
		return err
	}
	settings, err := settingsreader.ReadLoad(c.Settings)
	if err != nil {
		return err
	}
	if c.Rate > 0 {
		settings.Rate = c.Rate
	}
	result, err := loader.New(settings, loader.WithLog(log)).Run(ctx)
	if err != nil {
		return err
	}
	lines := reporter.NewLines(c.Cell, c.Side, result)
	if err := reporter.WriteTable(s.out, lines); err != nil {
		return err
	}
	s.print("%s", reporter.Summary(result))
	if c.CSV != "" {
		if err := reporter.AppendCSV(c.CSV, lines); err != nil {
			return err
		}
	}
	if reporter.Violations(result) > 0 {
		return errViolations
	}
	return nil
}
