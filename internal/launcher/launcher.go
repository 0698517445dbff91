// Package launcher runs a server program: command line, settings, log, signals, the operator's HTTP
// server and exit code.
package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/asserter"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

// Version is the release that these programs belong to.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	// ExitOK means that the program succeeded or shut down gracefully.
	ExitOK = 0
	// ExitFailure means that the program failed.
	ExitFailure = 1
	// ExitUsage means an invalid command line, settings file or manifest.
	ExitUsage = 2
)

// Settings are the settings of a server program.
type Settings interface {
	Process() settingsreader.Common
}

// Process contains what the launcher sets up for a running program.
type Process struct {
	Program     string
	Settings    settingsreader.Common
	Incarnation identifier.Incarnation
	Clock       timekeeper.Clock
	Log         zerolog.Logger
	Metrics     *measurer.Registry
	Events      *tracer.Tracer
	Invariants  *asserter.Asserter
	Operator    *Operator

	// Guarded by reloadMutex.
	reloadMutex sync.Mutex
	onReload    []func(settings Settings)
}

// Self returns this process's identity for link handshakes.
func (p *Process) Self() linker.Self {
	return linker.Self{Host: p.Settings.Host, Incarnation: p.Incarnation, LogicalClock: p.Events.Clock(), Bind: p.Settings.BindAddress}
}

// serverArguments is the command line of a server program.
type serverArguments struct {
	Settings string `arg:"--settings,required" help:"settings file in TOML"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// Main runs a server program and returns its exit code. The context of serve ends at the first
// SIGTERM or SIGINT, and serve must then shut down gracefully. A second signal terminates the
// program immediately. No port is opened before the settings have been validated.
func Main[S Settings](program string, read func(path string) (S, error), serve func(ctx context.Context, p *Process, settings S) error) int {
	return runProgram(program, os.Args[1:], os.Stdout, os.Stderr, read, serve)
}

// runProgram is Main with the command line and the output streams as parameters, for tests.
func runProgram[S Settings](program string, commandLine []string, stdout, stderr io.Writer,
	read func(path string) (S, error), serve func(ctx context.Context, p *Process, settings S) error,
) int {
	var arguments serverArguments
	description := "Runs a " + program + " of banyandock until it gets SIGTERM or SIGINT."
	if code, isDone := ParseArguments(program, description, &arguments, commandLine, stdout, stderr); isDone {
		return code
	}
	settings, err := read(arguments.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if arguments.Check {
		_, _ = fmt.Fprintf(stdout, "%s: ok\n", arguments.Settings)
		return ExitOK
	}
	logs := recorder.NewWriter(stdout, timekeeper.System{})
	// Close never returns an error.
	defer func() { _ = logs.Close() }()
	p := newProcess(program, settings.Process(), logs)
	ctx, stop := p.signalContext()
	defer stop()
	reloads := startReloader(ctx, p, arguments.Settings, read)
	defer func() {
		stop()
		reloads.tasks.Wait()
	}()
	if err := p.run(ctx, func(ctx context.Context) error { return serve(ctx, p, settings) }); err != nil {
		p.Log.Error().Err(err).Msg("stopped by an error")
		return ExitFailure
	}
	return ExitOK
}

// newProcess sets up a process without opening a port.
func newProcess(program string, settings settingsreader.Common, logs io.Writer) *Process {
	clock := timekeeper.System{}
	p := &Process{
		Program:     program,
		Settings:    settings,
		Incarnation: identifier.NewIncarnation(),
		Clock:       clock,
		Metrics:     measurer.New(),
		Events:      tracer.New(program, settings.Host, tracer.NewHybridClock(clock)),
	}
	p.Log = newLog(p, logs)
	p.Invariants = asserter.New(asserter.WithLog(p.Log), asserter.WithEvents(p.Events), asserter.WithMetrics(p.Metrics))
	p.Operator = newOperator(p)
	return p
}

// newLog returns the process's logger.
func newLog(p *Process, w io.Writer) zerolog.Logger {
	if p.Settings.LogFormat == settingsreader.LogConsole {
		w = zerolog.ConsoleWriter{Out: w}
	}
	return zerolog.New(w).Level(p.Settings.LogLevel).With().
		Str("program", p.Program).
		Str("host", string(p.Settings.Host)).
		Logger().
		Hook(timestampHook{clock: p.Clock})
}

// timeFormat has milliseconds, so that the log lines of several hosts can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestampHook adds the time to each log line.
type timestampHook struct{ clock timekeeper.Clock }

// Run adds the time to a log line.
func (t timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, t.clock.Now().Format(timeFormat))
}

// signalContext returns a context that ends at the first SIGTERM or SIGINT. The signals then have
// their default effect again, so that a second one terminates the process.
func (p *Process) signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// run opens the operator's port, runs serve, and records and logs start and stop. Once the context has ended,
// readiness goes off before serve sees the end.
func (p *Process) run(ctx context.Context, serve func(ctx context.Context) error) error {
	if err := p.Operator.open(p.Settings.OperatorAddress); err != nil {
		return err
	}
	serveCtx, endServe := context.WithCancel(context.WithoutCancel(ctx))
	defer endServe()
	unregister := context.AfterFunc(ctx, func() {
		p.Operator.markStopping()
		endServe()
	})
	defer unregister()
	p.Log.Info().Str("version", Version).Uint64("incarnation", uint64(p.Incarnation)).
		Stringer("operator_address", p.Settings.OperatorAddress).Msg("started")
	p.Events.Record(tracer.ProcessStarted, identifier.RequestID{}, "", tracer.F("version", Version))
	err := serve(serveCtx)
	p.Events.Record(tracer.ProcessStopped, identifier.RequestID{}, "")
	p.Log.Info().Msg("stopped")
	if closeErr := p.Operator.Close(); err == nil {
		err = closeErr
	}
	return err
}
