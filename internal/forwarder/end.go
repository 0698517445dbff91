package forwarder

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

//go:generate ../../bin/enumer -type evidence -trimprefix evidence -transform snake -output evidence_enumer.go

// evidence is how the end of a server became known.
type evidence uint8

// Kinds of evidence.
const (
	// evidenceRefused means that the server's address refused a connection.
	evidenceRefused evidence = iota
	// evidenceDirectory means that the keepers missed its heartbeats, or saw a later start of it or
	// another server at its address, though it had not left.
	evidenceDirectory
	// evidenceReplaced means that another server answered at its address.
	evidenceReplaced
)

var (
	// errBeingChecked reports that a check of the server runs already.
	errBeingChecked = eris.New("the server is being checked")
	// errAccepted reports that the server's address accepted a connection.
	errAccepted = eris.New("the address accepted a connection")
	// errUncorroborated reports that the links of this dock may have failed and not the server.
	errUncorroborated = eris.New("no other server was reached since")
)

const (
	// endCheckInterval is the time between two looks for servers that are worth a check.
	endCheckInterval = 200 * time.Millisecond
	// maxEndChecks bounds the checks that run at the same time.
	maxEndChecks = 8
	// endCheckTimeout bounds one check whether a server has ended.
	endCheckTimeout = 300 * time.Millisecond
)

// endChecker checks whether servers have ended that left requests without an answer. It opens
// connections only to servers that have given no sign of life for a while.
type endChecker struct {
	// Set at creation.
	forwarder *Forwarder

	// Guarded by mutex. checking holds the servers that are being checked.
	mutex    sync.Mutex
	checking map[locator.Start]bool
}

// loop starts checks until the forwarder is closed.
func (e *endChecker) loop() {
	f := e.forwarder
	defer f.tasks.Done()
	ticker := f.clock.NewTicker(endCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			e.startChecks()
		}
	}
}

// startChecks starts the checks that are due, within maxEndChecks.
func (e *endChecker) startChecks() {
	f := e.forwarder
	if f.IsDetached() {
		return
	}
	now := f.clock.Now()
	for _, r := range f.accuser.TakeChecks(now, e.countFree()) {
		target, ok := f.selector.Find(now, r.Service, r.Server)
		if !ok || target.Born != r.Born {
			continue
		}
		f.tasks.Add(1)
		go (&endCheck{endChecker: e, target: target}).run()
	}
}

// countFree returns how many more checks may run.
func (e *endChecker) countFree() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(0, maxEndChecks-len(e.checking))
}

// begin reserves the check of a server. It returns false if one runs already.
func (e *endChecker) begin(s locator.Start) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checking[s] {
		return false
	}
	e.checking[s] = true
	return true
}

// end ends the check of a server.
func (e *endChecker) end(s locator.Start) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.checking, s)
}

// endCheck is the check of one server.
type endCheck struct {
	*endChecker
	target selector.Target
}

// run checks the server.
func (c *endCheck) run() {
	f := c.forwarder
	defer f.tasks.Done()
	// An error means that the end is not known, which the keepers may find out later.
	_ = c.check()
}

// check finds out whether the server has ended, and holds its end against the requests that it has not
// answered. The server counts as ended if its address refuses connections while other servers can be
// reached. Otherwise it returns why that is not known.
func (c *endCheck) check() error {
	start := locator.Start{Server: c.target.ID, Born: c.target.Born}
	if !c.begin(start) {
		return errBeingChecked
	}
	defer c.end(start)
	f := c.forwarder
	ctx, cancel := context.WithTimeout(f.ctx, endCheckTimeout)
	defer cancel()
	refusedAt := f.clock.Now()
	err := f.sender.Probe(ctx, sender.Destination{Address: c.target.Address, ID: c.target.ID, Connections: f.selector.Connections(c.target.Service)})
	switch {
	case err == nil:
		return errAccepted
	case !errors.Is(err, syscall.ECONNREFUSED):
		return err
	case !f.detachment.awaitCorroboration(refusedAt, c.target):
		return errUncorroborated
	}
	f.serverEnded(locator.End{Start: start, Latest: refusedAt}, evidenceRefused)
	return nil
}

// SetEndedServers passes the starts of servers that ended without leaving, as the keepers know.
func (f *Forwarder) SetEndedServers(ends []locator.End) {
	for _, e := range ends {
		f.serverEnded(e, evidenceDirectory)
	}
}

// serverEnded holds the end of a server against the requests that it had not answered.
func (f *Forwarder) serverEnded(end locator.End, e evidence) {
	runs := f.accuser.Ended(end)
	if len(runs) == 0 {
		return
	}
	givenUp := 0
	for _, r := range runs {
		if !r.LeftAt.IsZero() {
			givenUp++
		}
	}
	f.log.Warn().Str(recorder.FieldServer, string(end.Server)).Str(recorder.FieldService, string(runs[0].Service)).
		Stringer(recorder.FieldEvidence, e).Int(recorder.FieldCount, len(runs)).Int(recorder.FieldGivenUp, givenUp).
		Strs(recorder.FieldRequests, requestsOf(runs)).Msg(recorder.EventServerEnded)
	for _, r := range runs {
		f.accuse(r, end.Latest, e)
	}
	f.onObserved()
}

// maxLoggedRequests bounds the requests that a log line names.
const maxLoggedRequests = 8

// requestsOf returns the identifiers of some requests for the log.
func requestsOf(runs []accuser.Run) []string {
	list := []string{}
	for _, r := range runs[:min(len(runs), maxLoggedRequests)] {
		list = append(list, r.Request)
	}
	return list
}
