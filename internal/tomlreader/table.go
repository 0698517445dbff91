package tomlreader

import (
	"maps"
	"slices"
)

// Table is a TOML table with its keys, values and lists of subtables.
type Table struct {
	// Line is the line number of the table's header.
	Line int

	document *Document
	name     string
	entries  map[string]*entry
	children map[string][]*Table
	// known holds the keys and subtables that were read, so that all others are unknown.
	known map[string]bool
	// isPartial is true if the text was not parsed, so that missing keys are not reported.
	isPartial bool
}

// entry is one key of a table.
type entry struct {
	line  int
	value Value
	// isInvalid is true if the value could not be parsed or converted.
	isInvalid bool
}

// newTable returns a table without keys.
func newTable(d *Document, name string, line int) *Table {
	return &Table{
		Line:     line,
		document: d,
		name:     name,
		entries:  map[string]*entry{},
		children: map[string][]*Table{},
		known:    map[string]bool{},
	}
}

// Required returns the converted value of a key. It reports a problem and returns the zero value if
// the key is missing or its value cannot be converted.
func Required[V any](t *Table, key string, convert Converter[V]) V {
	var zero V
	if t.entries[key] == nil && !t.isPartial {
		t.document.Report(t.Line, key, "is missing")
	}
	return Optional(t, key, zero, convert)
}

// Optional returns the converted value of a key, or the fallback if the key is missing. It reports
// a problem and returns the fallback if the value cannot be converted.
func Optional[V any](t *Table, key string, fallback V, convert Converter[V]) V {
	t.known[key] = true
	e := t.entries[key]
	if e == nil || e.isInvalid {
		return fallback
	}
	v, err := convert(e.value)
	if err != nil {
		e.isInvalid = true
		t.document.Report(e.value.line, key, "%v", err)
		return fallback
	}
	return v
}

// Tables returns the subtables with a name in the order of the text.
func (t *Table) Tables(name string) []*Table {
	t.known[name] = true
	return t.children[name]
}

// Has reports whether the table has a key, even if its value is invalid.
func (t *Table) Has(key string) bool {
	return t.entries[key] != nil
}

// HasValid reports whether the table has all of the keys and none of their values is invalid.
// Callers check this before they compare the values of several keys.
func (t *Table) HasValid(keys ...string) bool {
	for _, key := range keys {
		if e := t.entries[key]; e == nil || e.isInvalid {
			return false
		}
	}
	return true
}

// KeyLine returns the line number of a key, or that of the table's header if the key is missing.
func (t *Table) KeyLine(key string) int {
	if e := t.entries[key]; e != nil {
		return e.line
	}
	return t.Line
}

// Report adds a problem with a key, or with the whole table if the key is empty.
func (t *Table) Report(key, format string, arguments ...any) {
	t.document.Report(t.KeyLine(key), key, format, arguments...)
}

// add adds a key. It reports a problem and keeps the first value if the key is already set.
func (t *Table) add(name string, line int, v Value) {
	if first := t.entries[name]; first != nil {
		t.document.Report(line, name, "is already set on line %d", first.line)
		return
	}
	t.entries[name] = &entry{line: line, value: v}
}

// addTable adds a subtable and returns it.
func (t *Table) addTable(name string, line int) *Table {
	child := newTable(t.document, name, line)
	t.children[name] = append(t.children[name], child)
	return child
}

// reportUnknown reports the keys and subtables that were never read.
func (t *Table) reportUnknown() {
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		if !t.known[key] {
			t.document.Report(t.entries[key].line, key, "is not a known key%s", t.suggestion(key))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.children)) {
		for _, child := range t.children[name] {
			if t.known[name] {
				child.reportUnknown()
			} else {
				t.document.Report(child.Line, name, "is not a known table%s", t.suggestion(name))
			}
		}
	}
}

// suggestion returns a hint at a known key with a similar spelling, or an empty text.
func (t *Table) suggestion(key string) string {
	if t.document.isFull() {
		return ""
	}
	for _, known := range slices.Sorted(maps.Keys(t.known)) {
		if isSimilar(key, known) {
			return "; did you mean " + known + "?"
		}
	}
	return ""
}

// maxSimilarBytes limits the size of the keys that isSimilar compares.
const maxSimilarBytes = 64

// isSimilar reports whether the edit distance of two texts is at most two.
func isSimilar(a, b string) bool {
	if len(a) > maxSimilarBytes || len(b) > maxSimilarBytes {
		return false
	}
	return editDistance(a, b) <= 2
}

// editDistance returns the Levenshtein distance of two texts in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
