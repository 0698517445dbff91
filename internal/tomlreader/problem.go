package tomlreader

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

const (
	// maxProblems limits the number of problems listed for a document.
	maxProblems = 100
	// maxShownKeyBytes limits the size of the key in a problem.
	maxShownKeyBytes = 64
	// maxShownTextBytes limits the size of the text of a problem.
	maxShownTextBytes = 256
)

// Problem is one error in a document.
type Problem struct {
	// Line is the line number, starting from 1.
	Line int
	// Key is empty if the problem does not concern a single key.
	Key  string
	Text string
}

// String renders the problem as "line: key: text", or as "line: text" without a key.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%d: %s", p.Line, p.Text)
	}
	return fmt.Sprintf("%d: %s: %s", p.Line, p.Key, p.Text)
}

// Problems is the error that lists all problems of a document in order of their lines.
type Problems []Problem

// Error renders one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// InFile renders one problem per line as "file:line: key: text".
func (p Problems) InFile(path string) string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = path + ":" + problem.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems by line, in place, and returns them.
func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int { return a.Line - b.Line })
	return p
}

// printable truncates a text that is longer than maxBytes and replaces characters that are not
// printable, because they could be control sequences of a terminal.
func printable(s string, maxBytes int) string {
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, s)
}
