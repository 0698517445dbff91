package reporter

import (
	"encoding/csv"
	"io"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrCSV is returned for a results file that cannot be read or written.
var ErrCSV = eris.New("results file")

// column formats and parses one field of a Line.
type column struct {
	name  string
	write func(*Line) string
	read  func(*Line, string) error
}

var columns = []column{
	textColumn("cell", func(l *Line) *string { return &l.Cell }),
	textColumn("side", func(l *Line) *string { return &l.Side }),
	textColumn("class", func(l *Line) *string { return &l.Class }),
	countColumn("sent", func(l *Line) *int { return &l.Sent }),
	countColumn("complete", func(l *Line) *int { return &l.Complete }),
	countColumn("partial", func(l *Line) *int { return &l.Partial }),
	countColumn("not_run", func(l *Line) *int { return &l.NotRun }),
	countColumn("failed", func(l *Line) *int { return &l.Failed }),
	countColumn("in_doubt", func(l *Line) *int { return &l.InDoubt }),
	countColumn("no_answer", func(l *Line) *int { return &l.NoAnswer }),
	numberColumn("goodput_per_second", func(l *Line) *float64 { return &l.Goodput }),
	numberColumn("coverage", func(l *Line) *float64 { return &l.Coverage }),
	numberColumn("p50_ms", func(l *Line) *float64 { return &l.P50 }),
	numberColumn("p90_ms", func(l *Line) *float64 { return &l.P90 }),
	numberColumn("p99_ms", func(l *Line) *float64 { return &l.P99 }),
	numberColumn("p999_ms", func(l *Line) *float64 { return &l.P999 }),
	numberColumn("maximum_ms", func(l *Line) *float64 { return &l.Maximum }),
	numberColumn("refused_p99_ms", func(l *Line) *float64 { return &l.RefusedP99 }),
	numberColumn("subrequests_per_useful", func(l *Line) *float64 { return &l.Overhead }),
	countColumn("violations", func(l *Line) *int { return &l.Violations }),
	numberColumn("lag_p99_ms", func(l *Line) *float64 { return &l.LagP99 }),
}

func textColumn(name string, field func(*Line) *string) column {
	return column{
		name:  name,
		write: func(l *Line) string { return *field(l) },
		read: func(l *Line, s string) error {
			*field(l) = s
			return nil
		},
	}
}

func countColumn(name string, field func(*Line) *int) column {
	return column{
		name:  name,
		write: func(l *Line) string { return strconv.Itoa(*field(l)) },
		read: func(l *Line, s string) (err error) {
			*field(l), err = strconv.Atoi(s)
			return err
		},
	}
}

func numberColumn(name string, field func(*Line) *float64) column {
	return column{
		name:  name,
		write: func(l *Line) string { return strconv.FormatFloat(*field(l), 'f', 4, 64) },
		read: func(l *Line, s string) (err error) {
			*field(l), err = strconv.ParseFloat(s, 64)
			return err
		},
	}
}

// AppendCSV appends lines to a file and writes a header first if the file is new or empty.
func AppendCSV(path string, lines []Line) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(ErrCSV, err.Error())
	}
	position, err := f.Seek(0, io.SeekEnd)
	if err == nil {
		err = writeCSV(f, lines, position == 0)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrap(ErrCSV, err.Error())
	}
	return nil
}

func writeCSV(w io.Writer, lines []Line, heading bool) error {
	c := csv.NewWriter(w)
	if heading {
		names := make([]string, len(columns))
		for i, column := range columns {
			names[i] = column.name
		}
		if err := c.Write(names); err != nil {
			return err
		}
	}
	for i := range lines {
		fields := make([]string, len(columns))
		for j, column := range columns {
			fields[j] = column.write(&lines[i])
		}
		if err := c.Write(fields); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

// ReadCSV reads a file written by AppendCSV.
func ReadCSV(path string) ([]Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(ErrCSV, err.Error())
	}
	defer func() { _ = f.Close() }()
	records, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, eris.Wrap(ErrCSV, err.Error())
	}
	var lines []Line
	for i, record := range records {
		if i == 0 {
			continue
		}
		l, err := parseRecord(record)
		if err != nil {
			return nil, eris.Wrapf(err, "%s: line %d", path, i+1)
		}
		lines = append(lines, l)
	}
	return lines, nil
}

func parseRecord(record []string) (Line, error) {
	var l Line
	if len(record) != len(columns) {
		return l, eris.Wrapf(ErrCSV, "%d columns, not %d", len(record), len(columns))
	}
	for i, column := range columns {
		if err := column.read(&l, record[i]); err != nil {
			return l, eris.Wrapf(ErrCSV, "%s: %v", column.name, err)
		}
	}
	return l, nil
}
