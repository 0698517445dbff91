package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// process runs a program and can restart it. It is safe for concurrent use.
type process struct {
	// Set at creation.
	program  string
	settings string
	log      string

	// Guarded by mutex. command is nil while the program does not run.
	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// isExpectedToRun is false once the soak has sent SIGTERM or SIGKILL.
	isExpectedToRun bool
}

// start starts the program if it does not run.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.program, "--settings", p.settings)
	// The program logs to a pipe, so that limitFileSize does not apply to its log.
	command.Stdout = &logAppender{path: p.log}
	command.Stderr = command.Stdout
	// The program is killed when the soak ends, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start")
	}
	p.command, p.exited, p.isExpectedToRun = command, make(chan struct{}), true
	go p.run(command, p.exited)
	return nil
}

// logAppender is a writer that appends to a file.
type logAppender struct {
	path string
}

// Write opens the file, appends to it and closes it.
func (a *logAppender) Write(b []byte) (int, error) {
	f, err := os.OpenFile(a.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Write(b)
}

// run waits until the program exits.
func (p *process) run(command *exec.Cmd, exited chan struct{}) {
	// The exit status is ignored: hasExitedUnexpectedly only considers whether the process was to
	// exit.
	_ = command.Wait()
	p.mutex.Lock()
	p.command = nil
	p.mutex.Unlock()
	close(exited)
}

// signal sends a signal to the program if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.isExpectedToRun = false
	}
	// An error means that the process has just exited, so that it needs no signal.
	_ = p.command.Process.Signal(s)
}

// limitFileSize makes the program's writes to files fail beyond a size in bytes, similar to a full
// disk. math.MaxUint64 removes the limit.
func (p *process) limitFileSize(bytes uint64) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// awaitExit waits until the program exits. It returns false after the timeout.
func (p *process) awaitExit(timeout time.Duration) bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill kills the program with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(time.Minute)
}

// hasExitedUnexpectedly reports whether the program exited without SIGTERM or SIGKILL from the
// soak.
func (p *process) hasExitedUnexpectedly() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command == nil && p.isExpectedToRun
}
