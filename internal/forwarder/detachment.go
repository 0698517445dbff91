package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/monitor"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// probeServers is the number of servers that are probed to find out whether this dock is cut off.
	probeServers = 5
	// probeTimeout bounds one round of probes.
	probeTimeout = 250 * time.Millisecond
	// reprobeInterval is the pause between two rounds while the dock is cut off.
	reprobeInterval = 300 * time.Millisecond
	// corroborationTimeout bounds the wait for a sign that a server has failed and not the links of
	// this dock. By then the keepers have missed heartbeats of a server that crashed.
	corroborationTimeout = 8 * time.Second
	// corroborationInterval is the time between two checks for that sign.
	corroborationInterval = 100 * time.Millisecond
)

// detachment finds out whether this dock has lost its links to all servers. It probes servers only
// after requests or connections have failed, and while the dock is cut off.
type detachment struct {
	// Set at creation.
	forwarder *Forwarder
	monitor   *monitor.Monitor
	// suspected wakes the loop.
	suspected chan struct{}

	// Set before the first request. It is called when the dock is cut off, and when it no longer is.
	onChange func(isDetached bool)

	// detached is closed when the dock is cut off, and replaced when it no longer is.
	detached atomic.Pointer[chan struct{}]
	// waiting counts the calls of awaitCorroboration that wait.
	waiting atomic.Int32
}

// newDetachment returns the detachment of an attached dock.
func newDetachment(f *Forwarder) *detachment {
	d := &detachment{forwarder: f, monitor: monitor.New(), suspected: make(chan struct{}, 1), onChange: func(bool) {}}
	channel := make(chan struct{})
	d.detached.Store(&channel)
	return d
}

// OnDetached sets the function that is called when this dock has lost its links to all servers and
// when it has them again. The function must not block. It must be set before the first request.
func (f *Forwarder) OnDetached(onChange func(isDetached bool)) { f.detachment.onChange = onChange }

// IsDetached reports whether this dock has lost its links to all servers.
func (f *Forwarder) IsDetached() bool { return f.detachment.monitor.IsDetached() }

// signal returns the channel that is closed when the dock is cut off, or nil if it is already.
func (d *detachment) signal() <-chan struct{} {
	channel := *d.detached.Load()
	if isClosed(channel) {
		return nil
	}
	return channel
}

// isClosed reports whether a channel on which nothing is sent has been closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// sent records that a request is being sent to a server.
func (d *detachment) sent(now time.Time, server encoder.ServerID) {
	d.monitor.Sent(now, server)
	d.wake()
}

// connectionFailed records that a connection to a server could not be opened or broke.
func (d *detachment) connectionFailed(now time.Time, server encoder.ServerID) {
	d.monitor.ConnectionFailed(now, server)
	d.wake()
}

// wake makes the loop check the evidence.
func (d *detachment) wake() {
	select {
	case d.suspected <- struct{}{}:
	default:
	}
}

// loop probes servers when the dock is suspected to be cut off, and as long as it is.
func (d *detachment) loop() {
	f := d.forwarder
	defer f.tasks.Done()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-d.suspected:
		}
		for d.mustProbe() || d.monitor.IsWaiting(f.clock.Now()) {
			if d.mustProbe() {
				d.probe()
			}
			if !d.pause() {
				return
			}
		}
	}
}

// mustProbe reports whether servers must be probed now.
func (d *detachment) mustProbe() bool {
	return d.monitor.IsDetached() || d.waiting.Load() > 0 || d.monitor.IsSuspect(d.forwarder.clock.Now())
}

// pause waits until the next check. It returns false if the forwarder is closed.
func (d *detachment) pause() bool {
	f := d.forwarder
	interval := monitor.SilenceTime
	if d.monitor.IsDetached() {
		interval = reprobeInterval
	}
	timer := f.clock.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-f.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// probe opens connections to some servers and evaluates whether any accepted one.
func (d *detachment) probe() {
	f := d.forwarder
	targets := f.selector.ProbeTargets(probeServers)
	ctx, cancel := context.WithTimeout(f.ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	var reached atomic.Int32
	for _, t := range targets {
		to := sender.Destination{Address: t.Address, ID: t.ID, Connections: f.selector.Connections(t.Service)}
		probes.Go(func() {
			if f.sender.Probe(ctx, to) == nil {
				reached.Add(1)
			}
		})
	}
	probes.Wait()
	if f.ctx.Err() == nil && d.monitor.Probed(f.clock.Now(), len(targets), int(reached.Load())) {
		d.handleChange(len(targets), int(reached.Load()))
	}
}

// handleChange tells the keepers and the queries that the dock was cut off or no longer is. What the
// dock observed of servers meanwhile was due to its links.
func (d *detachment) handleChange(tried, reached int) {
	f := d.forwarder
	isDetached := d.monitor.IsDetached()
	f.selector.ForgetFailures()
	event := recorder.EventAttached
	if isDetached {
		event = recorder.EventDetached
		close(*d.detached.Load())
	} else {
		channel := make(chan struct{})
		d.detached.Store(&channel)
	}
	f.log.Warn().Int(recorder.FieldCount, tried).Int(recorder.FieldReached, reached).Msg(event)
	d.onChange(isDetached)
	f.onTargetsChanged()
}

// awaitCorroboration waits for a sign that a server failed by itself at a moment: another server was
// reached since, or the keepers no longer know this start of the server as alive. It returns false if
// there is none in time, or if this dock is cut off meanwhile: then its links may have failed, and that
// they are up again later says nothing of the server.
func (d *detachment) awaitCorroboration(at time.Time, target selector.Target) bool {
	f := d.forwarder
	detached := d.signal()
	if detached == nil {
		return false
	}
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	d.connectionFailed(at, target.ID)
	ticker := f.clock.NewTicker(corroborationInterval)
	defer ticker.Stop()
	for f.clock.Now().Sub(at) < corroborationTimeout {
		if isClosed(detached) {
			return false
		}
		if d.monitor.HasReachedSince(at) || !f.selector.IsAlive(target.ID, target.Born) {
			return true
		}
		select {
		case <-ticker.C:
		case <-detached:
			return false
		case <-f.ctx.Done():
			return false
		}
	}
	return false
}
