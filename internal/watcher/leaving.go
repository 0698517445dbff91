package watcher

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
)

const (
	// leavingInterval is the time between two attempts to tell the keepers of servers that leave, and the
	// time that a server's own announcement has to arrive before.
	leavingInterval = 300 * time.Millisecond
	// leavingCallTimeout bounds one message to a keeper.
	leavingCallTimeout = 250 * time.Millisecond
	// leavingReportTime is how long the keepers are told. By then the server has ended.
	leavingReportTime = 15 * time.Second
	// maxLeaving bounds the servers that wait to be reported. Docks that are not told find out by
	// themselves.
	maxLeaving = 4096
)

// leavingServer is a server that said in a reply to this dock that it leaves.
type leavingServer struct {
	registration encoder.Registration
	since        time.Time
	// acknowledged holds the keepers that have been told.
	acknowledged map[netip.AddrPort]bool
}

// leavingReporter tells the keepers of servers that said in replies that they leave, as long as no keeper
// knows it, so that the other docks need not find out.
type leavingReporter struct {
	*Watcher
}

// ReportLeaving tells the keepers that a server leaves. It does not block.
func (w *Watcher) ReportLeaving(r encoder.Registration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.leaving) >= maxLeaving {
		return
	}
	r.State = encoder.PresenceDraining
	start := locator.Start{Server: r.ID, Born: r.Born}
	w.leaving[start] = &leavingServer{registration: r, since: w.clock.Now(), acknowledged: map[netip.AddrPort]bool{}}
}

// loop tells the keepers at intervals.
func (r *leavingReporter) loop() {
	defer r.tasks.Done()
	ticker := r.clock.NewTicker(leavingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			for _, s := range r.takeDue() {
				r.report(s)
			}
		}
	}
}

// takeDue returns the servers that the keepers must be told of. It forgets those that a keeper knows of or
// that have been reported for long enough.
func (r *leavingReporter) takeDue() []*leavingServer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	due := []*leavingServer{}
	for start, s := range r.leaving {
		age := now.Sub(s.since)
		switch {
		case r.catalog.HasDeparted(start), age > leavingReportTime:
			delete(r.leaving, start)
		case age >= leavingInterval:
			due = append(due, s)
		}
	}
	return due
}

// report tells the keepers of a server that have not acknowledged it, until one of them does.
func (r *leavingReporter) report(s *leavingServer) {
	for _, k := range r.connectedKeepers() {
		if r.ctx.Err() != nil || s.acknowledged[k.address] {
			continue
		}
		ctx, cancel := context.WithTimeout(k.ctx, leavingCallTimeout)
		_, err := linker.Call[encoder.Registration, encoder.DepartReply](ctx, r.pool.Link(k.address), encoder.KindDepart, s.registration)
		cancel()
		if err == nil {
			s.acknowledged[k.address] = true
			return
		}
		r.log.Warn().Err(err).Str(recorder.FieldServer, string(s.registration.ID)).
			Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventLeavingUnreported)
	}
}

// connectedKeepers returns the keepers that have answered, the leading one first.
func (w *Watcher) connectedKeepers() []*keeper {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	connected := []*keeper{}
	for _, k := range w.keepers {
		switch {
		case k.lastReply.IsZero():
		case k.address == w.leader:
			connected = append([]*keeper{k}, connected...)
		default:
			connected = append(connected, k)
		}
	}
	return connected
}
