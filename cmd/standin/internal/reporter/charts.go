package reporter

import (
	"math"
	"slices"

	"banyandock.example/banyandock/cmd/standin/internal/plotter"
)

// metric is one quantity that a chart shows.
type metric struct {
	title       string
	unit        string
	logarithmic bool
	value       func(Line) float64
}

var metrics = []metric{
	{"99th percentile of latency", "ms", true, func(l Line) float64 { return l.P99 }},
	{"99.9th percentile of latency", "ms", true, func(l Line) float64 { return l.P999 }},
	{"median latency", "ms", true, func(l Line) float64 { return l.P50 }},
	{"complete answers in time", "1/s", false, func(l Line) float64 { return l.Goodput }},
	{"coverage of answers", "share", false, func(l Line) float64 { return l.Coverage }},
}

// Charts returns one chart for each metric of each class, grouped by cell with one bar for each
// side.
func Charts(lines []Line) []plotter.Chart {
	cells := distinct(lines, func(l Line) string { return l.Cell })
	sides := distinct(lines, func(l Line) string { return l.Side })
	var charts []plotter.Chart
	for _, m := range metrics {
		for _, class := range distinct(lines, func(l Line) string { return l.Class }) {
			charts = append(charts, m.chart(lines, class, cells, sides))
		}
	}
	return charts
}

func (m metric) chart(lines []Line, class string, cells, sides []string) plotter.Chart {
	c := plotter.Chart{
		Title:       class + ": " + m.title,
		Unit:        m.unit,
		Groups:      cells,
		Series:      sides,
		Logarithmic: m.logarithmic,
	}
	for _, side := range sides {
		values := make([]float64, len(cells))
		for i, cell := range cells {
			values[i] = m.find(lines, cell, side, class)
		}
		c.Values = append(c.Values, values)
	}
	return c
}

func (m metric) find(lines []Line, cell, side, class string) float64 {
	if l, ok := findLine(lines, cell, side, class); ok {
		return m.value(l)
	}
	return math.NaN()
}

// distinct lists the distinct values of a field in the order of their first appearance.
func distinct(lines []Line, field func(Line) string) []string {
	var values []string
	for _, l := range lines {
		if !slices.Contains(values, field(l)) {
			values = append(values, field(l))
		}
	}
	return values
}
