package launcher

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// programInfo provides the help and version texts to go-arg.
type programInfo struct {
	Program string `arg:"-"`
	Text    string `arg:"-"`
}

// Version returns what --version prints.
func (a *programInfo) Version() string { return a.Program + " " + Version }

// Description returns what --help prints first.
func (a *programInfo) Description() string { return a.Text }

// ParseArguments parses a command line into destination, a pointer to a go-arg struct. If isDone is
// true, the program must exit with the code: ParseArguments has written help or version to stdout,
// or an error to stderr.
func ParseArguments(program, description string, destination any, arguments []string, stdout, stderr io.Writer) (code int, isDone bool) {
	a := &programInfo{Program: program, Text: description}
	parser, err := arg.NewParser(arg.Config{Program: program}, a, destination)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage, true
	}
	err = parser.Parse(arguments)
	switch {
	case err == nil:
		return ExitOK, false
	case errors.Is(err, arg.ErrHelp):
		// WriteHelpForSubcommand fails only for unknown names, and these come from the parser.
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(stdout, a.Version())
		return ExitOK, true
	default:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return ExitUsage, true
	}
}
