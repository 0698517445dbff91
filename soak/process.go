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

// process is one program that the soak started. It is safe for concurrent use.
type process struct {
	// Set at creation.
	program  string
	settings string
	log      string

	// Guarded by mutex.
	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// isWanted says that the process is not to have ended.
	isWanted bool
}

// start runs the program unless it runs.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.program, "--settings", p.settings)
	// The program writes to a pipe, so that a limit on its files does not end its log.
	command.Stdout = &copier{path: p.log}
	command.Stderr = command.Stdout
	// A soak that is ended leaves nothing behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start")
	}
	p.command, p.ended, p.isWanted = command, make(chan struct{}), true
	go p.run(command, p.ended)
	return nil
}

// copier appends what it gets to a file.
type copier struct {
	path string
}

// Write appends to the file.
func (c *copier) Write(b []byte) (int, error) {
	f, err := os.OpenFile(c.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Write(b)
}

// run waits for the program's end.
func (p *process) run(command *exec.Cmd, ended chan struct{}) {
	// How a process ended is told by whether its end was wanted.
	_ = command.Wait()
	p.mutex.Lock()
	p.command = nil
	p.mutex.Unlock()
	close(ended)
}

// signal sends a signal if the program runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.isWanted = false
	}
	// A process that has just ended needs no signal.
	_ = p.command.Process.Signal(s)
}

// fill refuses every write to a file beyond a size, as a full disk does. All bits set allow all.
func (p *process) fill(bytes uint64) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// await waits for the end. It returns false if it does not come in time.
func (p *process) await(limit time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the program at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.await(time.Minute)
}

// hasFailed tells whether the program ended by itself.
func (p *process) hasFailed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command == nil && p.isWanted
}
