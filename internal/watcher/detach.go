package watcher

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
)

const (
	// detachTimeout bounds one notice to a keeper.
	detachTimeout = 250 * time.Millisecond
	// relaysInterval is how often a dock that is cut off asks for the docks that are not.
	relaysInterval = 500 * time.Millisecond
)

// detachReporter tells the keepers whether this dock has lost its links to all backend servers.
type detachReporter struct {
	*Watcher
	// relaysDigest identifies the list of docks that the leader sent last.
	relaysDigest uint64
	// acknowledged holds the version of the notice that each keeper has acknowledged.
	acknowledged map[netip.AddrPort]uint64
}

// SetDetached tells the keepers whether this dock has lost its links to all backend servers. While it
// has, the sink gets the docks that can reach them.
func (w *Watcher) SetDetached(isDetached bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isDetached = isDetached
	w.detachVersion++
	select {
	case w.detachChanged <- struct{}{}:
	default:
	}
}

// loop sends notices after each change until all connected keepers have acknowledged it, and to the
// leader at intervals while the dock is cut off.
func (r *detachReporter) loop() {
	defer r.tasks.Done()
	ticker := r.clock.NewTicker(relaysInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.detachChanged:
			r.relaysDigest = 0
		case <-ticker.C:
		}
		r.report()
	}
}

// report sends the notices that are due.
func (r *detachReporter) report() {
	r.mutex.Lock()
	n := encoder.DetachNotice{Version: r.detachVersion, IsDetached: r.isDetached}
	leader := r.leader
	due := []*keeper{}
	for _, k := range r.keepers {
		isAcknowledged := r.acknowledged[k.address] == n.Version
		if !k.lastReply.IsZero() && (!isAcknowledged || n.IsDetached && k.address == leader) {
			due = append(due, k)
		}
	}
	r.mutex.Unlock()
	// The leader is told first, because its reply holds the docks to use.
	for _, isLeader := range []bool{true, false} {
		for _, k := range due {
			if (k.address == leader) == isLeader && r.ctx.Err() == nil {
				r.send(k, n)
			}
		}
	}
}

// send sends one notice and passes on the docks in its reply.
func (r *detachReporter) send(k *keeper, n encoder.DetachNotice) {
	ctx, cancel := context.WithTimeout(k.ctx, detachTimeout)
	defer cancel()
	n.RelaysDigest = r.relaysDigest
	reply, err := linker.Call[encoder.DetachNotice, encoder.DetachReply](ctx, r.pool.Link(k.address), encoder.KindDetach, n)
	if err != nil {
		r.log.Warn().Err(err).Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventDetachNotSent)
		return
	}
	r.acknowledged[k.address] = n.Version
	if reply.IsLeader && n.IsDetached && reply.RelaysDigest != r.relaysDigest {
		r.relaysDigest = reply.RelaysDigest
		r.sink.SetRelays(reply.Relays)
	}
}
