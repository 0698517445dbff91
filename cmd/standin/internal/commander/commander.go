// Package commander parses the command line of the stand-in program and runs its subcommands.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/launcher"
)

// errUsage is returned for a command line that cannot be used.
var errUsage = eris.New("a subcommand with valid options is needed; see --help")

// arguments is the program's command line.
type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run backend servers"`
	Baseline *baselineCommand `arg:"subcommand:baseline" help:"run entry hosts that fan out directly, to compare with"`
	Load     *loadCommand     `arg:"subcommand:load" help:"generate callers' queries and check the answers"`
	Report   *reportCommand   `arg:"subcommand:report" help:"print and draw the results of load runs"`
	Ask      *askCommand      `arg:"subcommand:ask" help:"ask one query and print the answer"`
	Await    *awaitCommand    `arg:"subcommand:await" help:"wait until processes are ready"`
	Post     *postCommand     `arg:"subcommand:post" help:"send a request to a control port"`
}

// command is one of the program's subcommands.
type command interface {
	// run runs the subcommand until it is done or the context ends.
	run(ctx context.Context, s streams) error
}

// streams are the output streams of a subcommand: results go to out, everything else to err.
type streams struct {
	out io.Writer
	err io.Writer
}

// print writes a formatted part of the result to out.
func (s streams) print(format string, arguments ...any) {
	// A failure to write to standard output cannot be reported anywhere.
	_, _ = fmt.Fprintf(s.out, format, arguments...)
}

// log returns a logger that writes to err at the level with the given name. It returns errUsage if
// there is no such level.
func (s streams) log(level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), eris.Wrapf(errUsage, "log level %q", level)
	}
	return zerolog.New(s.err).Level(l).With().Timestamp().Logger(), nil
}

// Run runs the program with the given command line and returns its exit code.
func Run(commandLine []string, out, err io.Writer) int {
	var a arguments
	const description = "Stands in for backend servers and callers of banyandock during development."
	if code, isDone := launcher.ParseArguments("standin", description, &a, commandLine, out, err); isDone {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failure := a.run(ctx, streams{out: out, err: err})
	if failure == nil {
		return launcher.ExitOK
	}
	_, _ = fmt.Fprintln(err, "error:", failure)
	if errors.Is(failure, settingsreader.ErrInvalid) || errors.Is(failure, errUsage) {
		return launcher.ExitUsage
	}
	return launcher.ExitFailure
}

// run runs the selected subcommand. It returns errUsage if none is selected.
func (a *arguments) run(ctx context.Context, s streams) error {
	switch {
	case a.Serve != nil:
		return a.Serve.runProfiled(ctx, s, a.Serve)
	case a.Baseline != nil:
		return a.Baseline.runProfiled(ctx, s, a.Baseline)
	case a.Load != nil:
		return a.Load.runProfiled(ctx, s, a.Load)
	case a.Report != nil:
		return a.Report.run(ctx, s)
	case a.Ask != nil:
		return a.Ask.run(ctx, s)
	case a.Await != nil:
		return a.Await.run(ctx, s)
	case a.Post != nil:
		return a.Post.run(ctx, s)
	}
	return errUsage
}
