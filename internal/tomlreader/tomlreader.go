// Package tomlreader reads TOML text into tables that keep the line numbers of their values. It
// collects all problems of a text, so that its author sees them at once.
package tomlreader

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a parsed text. Required and Optional read values from its tables. Finish is called
// last and returns all problems.
type Document struct {
	Root *Table

	text     []byte
	newlines []int
	problems Problems
	// omitted is the number of problems beyond maxProblems.
	omitted int
}

// Read parses a text. It reports a problem and does not parse a text that is larger than maxBytes.
func Read(text []byte, maxBytes int) *Document {
	// Some editors write a byte order mark at the start of a file.
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	d := &Document{text: slices.Clip(text)}
	d.Root = newTable(d, "", 1)
	if len(text) > maxBytes {
		d.Report(1, "", "%d bytes are more than the limit of %d", len(text), maxBytes)
		d.Root.isPartial = true
		return d
	}
	for i, b := range text {
		if b == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	(&builder{document: d, table: d.Root}).build()
	return d
}

// Report adds a problem. Beyond maxProblems it only counts them.
func (d *Document) Report(line int, key, format string, arguments ...any) {
	if d.isFull() {
		d.omitted++
		return
	}
	d.problems = append(d.problems, Problem{
		Line: line,
		Key:  printable(key, maxShownKeyBytes),
		Text: printable(fmt.Sprintf(format, arguments...), maxShownTextBytes),
	})
}

// isFull reports whether further problems are only counted.
func (d *Document) isFull() bool { return len(d.problems) == maxProblems }

// Finish reports the keys and tables that were never read and returns all problems as Problems, or
// nil if there are none.
func (d *Document) Finish() error {
	d.Root.reportUnknown()
	if len(d.problems) == 0 {
		return nil
	}
	problems := d.problems.sorted()
	if d.omitted > 0 {
		last := problems[len(problems)-1].Line
		problems = append(problems, Problem{Line: last, Text: fmt.Sprintf("%d more problems", d.omitted)})
	}
	return problems
}

// line returns the line number of an offset.
func (d *Document) line(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}

// lineBounds returns the offsets of a line's first byte and of the byte after its newline.
func (d *Document) lineBounds(line int) (start, end int) {
	if line > 1 {
		start = d.newlines[line-2] + 1
	}
	if line-1 < len(d.newlines) {
		return start, d.newlines[line-1] + 1
	}
	return start, len(d.text)
}

// builder builds tables from the parser's expressions.
type builder struct {
	document *Document
	parser   unstable.Parser
	// base is the offset of the parser's data within the text.
	base int
	// table is the table to which the next keys are added.
	table *Table
}

// build parses the text. After a syntax error it continues with the next line.
func (b *builder) build() {
	for b.base <= len(b.document.text) {
		b.parser.Reset(b.document.text[b.base:])
		for b.parser.NextExpression() {
			b.addExpression(b.parser.Expression())
		}
		err := b.parser.Error()
		if err == nil {
			return
		}
		if !b.skipLine(err) {
			return
		}
	}
}

// skipLine reports a syntax error and moves to the line after it. It returns false at the end of
// the text.
func (b *builder) skipLine(err error) bool {
	line := b.document.line(b.offset(err))
	start, end := b.document.lineBounds(line)
	content := bytes.TrimSpace(b.document.text[start:end])
	if bytes.HasPrefix(content, []byte("[")) {
		b.document.Report(line, "", "syntax: %v", err)
		// The keys below a header with a syntax error are not checked, because their table is unknown.
		b.table = newTable(b.document, "", line)
	} else {
		b.skipKey(line, content, err)
	}
	if end <= b.base || end >= len(b.document.text) {
		return false
	}
	b.base = end
	return true
}

// skipKey reports a key whose value cannot be parsed and marks the key as invalid.
func (b *builder) skipKey(line int, content []byte, err error) {
	name, value, hasValue := strings.Cut(string(content), "=")
	name = strings.TrimSpace(name)
	if !hasValue || !isBareKey(name) {
		b.document.Report(line, "", "syntax: %v", err)
		return
	}
	b.document.Report(line, name, "syntax: %v%s", err, quotesHint(strings.TrimSpace(value)))
	b.table.entries[name] = &entry{line: line, isInvalid: true}
}

// quotesHint returns a hint if the value lacks quotes, which is the most common mistake.
func quotesHint(value string) string {
	if value == "" || strings.ContainsAny(value, "\"'[{") {
		return ""
	}
	return fmt.Sprintf("; texts, durations and addresses need quotes: %q", value)
}

// offset returns the offset of a syntax error in the text.
func (b *builder) offset(err error) int {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) || parserError.Highlight == nil {
		return b.base
	}
	offset := cap(b.document.text) - cap(parserError.Highlight)
	return min(max(offset, b.base), len(b.document.text))
}

// nodeLine returns the line number of a node, or the fallback if the node has no position.
func (b *builder) nodeLine(n *unstable.Node, fallback int) int {
	if n.Raw.Length == 0 {
		return fallback
	}
	return b.document.line(b.base + int(n.Raw.Offset))
}

// addExpression adds a key to the current table or starts a new table.
func (b *builder) addExpression(n *unstable.Node) {
	name, line := b.key(n)
	switch n.Kind {
	case unstable.KeyValue:
		b.table.add(name, line, b.value(n.Value(), line))
	case unstable.Table:
		b.document.Report(line, name, "write [[%s]] for a table", name)
		b.table = b.document.Root.addTable(name, line)
	case unstable.ArrayTable:
		b.table = b.document.Root.addTable(name, line)
	default:
		// The parser does not keep comments.
	}
}

// key returns a node's key, with its parts joined by dots, and its line number.
func (b *builder) key(n *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for i := n.Key(); i.Next(); {
		if line == 0 {
			line = b.nodeLine(i.Node(), 1)
		}
		parts = append(parts, string(i.Node().Data))
	}
	return strings.Join(parts, "."), line
}

// value copies a node's value out of the parser's memory.
func (b *builder) value(n *unstable.Node, line int) Value {
	v := Value{kind: kindOf(n.Kind), text: string(n.Data), line: b.nodeLine(n, line)}
	if v.kind != kindList {
		return v
	}
	for i := n.Children(); i.Next(); {
		v.items = append(v.items, b.value(i.Node(), v.line))
	}
	return v
}

// isBareKey reports whether a text is a key that needs no quotes.
func isBareKey(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return !isNameRune(r) }) < 0
}

// isNameRune reports whether a rune may occur in a bare key.
func isNameRune(r rune) bool {
	return r == '_' || r == '-' || '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
}
