package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// WriteTable prints lines as an aligned table.
func WriteTable(w io.Writer, lines []Line) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "cell\tside\tclass\tsent\tcomplete\tpartial\tnot run\tother\tgoodput/s\tcoverage\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\tsubrequests/useful\tviolations\tlag p99 ms\t")
	if err != nil {
		return err
	}
	for _, l := range lines {
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t\n",
			l.Cell, l.Side, l.Class, l.Sent, l.Complete, l.Partial, l.NotRun, l.Failed+l.InDoubt+l.NoAnswer,
			l.Goodput, l.Coverage, l.P50, l.P90, l.P99, l.P999, l.Maximum, l.Overhead, l.Violations, l.LagP99)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}
