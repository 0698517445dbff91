package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison prints, for each cell and class that both sides have, the latency of each side
// and its ratio to the latency of the baseline.
func WriteComparison(w io.Writer, lines []Line, baseline string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(t, "cell\tclass\tside\tp99 ms\tof "+baseline+"\tp99.9 ms\tof "+baseline+"\textra subrequests\t"); err != nil {
		return err
	}
	for _, l := range lines {
		b, ok := findLine(lines, l.Cell, baseline, l.Class)
		if !ok || l.Side == baseline {
			continue
		}
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.2f\t%.1f\t%.2f\t%.1f%%\t\n",
			l.Cell, l.Class, l.Side, l.P99, ratio(l.P99, b.P99), l.P999, ratio(l.P999, b.P999), percent*(l.Overhead-1))
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// percent converts a ratio to a percentage.
const percent = 100

func findLine(lines []Line, cell, side, class string) (Line, bool) {
	for _, l := range lines {
		if l.Cell == cell && l.Side == side && l.Class == class {
			return l, true
		}
	}
	return Line{}, false
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
