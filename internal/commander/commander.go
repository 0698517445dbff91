// Package commander implements the commands of dockctl.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/timekeeper"
)

// arguments is dockctl's command line.
type arguments struct {
	Check    *checkCommand    `arg:"subcommand:check" help:"list all problems of a manifest, by line"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"tell which callers and services a new manifest touches"`
	Submit   *submitCommand   `arg:"subcommand:submit" help:"submit a manifest and wait until it is in force everywhere"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show keepers, docks and the manifest in force"`
	Timeline *timelineCommand `arg:"subcommand:timeline" help:"show the events of all processes in one order"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"tell the story of one request from log files"`
	Route    *routeCommand    `arg:"subcommand:route" help:"tell what a routed dock would do now with a request, and why, without sending it"`
}

// command is one of dockctl's commands.
type command interface {
	// run performs the command and returns the program's exit code.
	run(ctx context.Context, t terminal) int
}

// terminal holds the streams of a command. Results go to out, all other lines to err.
type terminal struct {
	out io.Writer
	err io.Writer
}

// print writes a line of the result to out.
func (t terminal) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", arguments...)
}

// warn writes a line that is not part of the result to err.
func (t terminal) warn(format string, arguments ...any) {
	_, _ = fmt.Fprintf(t.err, format+"\n", arguments...)
}

// Run runs dockctl with the given command line arguments and returns its exit code.
func Run(args []string, out, err io.Writer) int {
	var a arguments
	t := terminal{out: out, err: err}
	code, isDone := launcher.ParseArguments("dockctl", "Checks, compares and submits manifests and shows the state of a deployment.", &a, args, out, err)
	if isDone {
		return code
	}
	c := a.command()
	if c == nil {
		t.warn("error: a command is needed; see dockctl --help")
		return launcher.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.run(ctx, t)
}

// command returns the command on the command line, or nil if there is none.
func (a *arguments) command() command {
	switch {
	case a.Check != nil:
		return a.Check
	case a.Diff != nil:
		return a.Diff
	case a.Submit != nil:
		return a.Submit
	case a.Status != nil:
		return a.Status
	case a.Timeline != nil:
		return a.Timeline
	case a.Explain != nil:
		return a.Explain
	case a.Route != nil:
		return a.Route
	default:
		return nil
	}
}

// keeperAddresses is a comma-separated list of keepers' link addresses.
type keeperAddresses []netip.AddrPort

// UnmarshalText parses the list. It returns an error for a part that is not an IP address with a
// port.
func (k *keeperAddresses) UnmarshalText(text []byte) error {
	for part := range strings.SplitSeq(string(text), ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return eris.Errorf("%q is not an IP number with a port, such as 10.0.0.1:7400", part)
		}
		*k = append(*k, a)
	}
	return nil
}

// newPool returns a pool of links that identify themselves as dockctl in their handshakes.
func newPool() *linker.Pool {
	self := linker.Self{Host: "dockctl", Incarnation: identifier.NewIncarnation()}
	return linker.NewPool(self, timekeeper.System{})
}
