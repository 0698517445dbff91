package poller

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/placer"
)

// handleReply handles the reply to a poll, or its error.
func (p *Poller) handleReply(x *exchange, reply encoder.PollReply, err error) {
	p.targets[x.address].isInFlight = false
	// A refused connection does not count as an answer: the hosts that accepted a change may
	// all have failed at once, and counting their refusals would hide the change.
	if err != nil || !p.group.add(x.address, x.sent, reply) {
		return
	}
	p.applyManifest(reply.Manifest)
	p.reporter.setLeader(p.group.term, p.group.leader)
	p.reporter.handleReply(x.report, reply)
	if p.isFromLeader(reply) {
		p.applyView(reply.View)
		p.applyQuarantine(reply.Quarantine)
	}
	p.updateLeader()
	p.updateFreshness()
}

// isFromLeader reports whether a reply comes from the leader of the highest known term.
func (p *Poller) isFromLeader(reply encoder.PollReply) bool {
	return reply.LeaderReady && reply.Term == p.group.term && reply.Keeper == p.group.leader
}

// applyManifest applies a committed manifest if it is newer.
func (p *Poller) applyManifest(m *encoder.ManifestText) {
	if m == nil {
		return
	}
	applied := p.State().ManifestText
	if m.Number == applied.Number {
		p.invariants.Check(m.Digest == applied.Digest, "manifest_number_names_one_text", "%d has digests %s and %s", m.Number, m.Digest, applied.Digest)
	}
	if m.Number <= applied.Number {
		return
	}
	// If this release cannot parse the manifest, the dock keeps the former one and stops being
	// fresh.
	parsed, err := p.parse(m.Text)
	if err != nil {
		return
	}
	p.publish(func(s *State) {
		s.Manifest = parsed
		s.ManifestText = *m
	})
}

// applyView applies a delta to the view. A delta with another base is dropped: the next poll
// reports the epoch of the view that the dock holds, and its reply contains the delta from there.
func (p *Poller) applyView(d *encoder.ViewDelta) {
	if d == nil {
		return
	}
	view, ok := p.State().View.Apply(d)
	if !ok {
		return
	}
	p.publish(func(s *State) {
		s.View = view
		s.Placement = placer.Place(view)
	})
}

// applyQuarantine replaces the list of quarantined fingerprints if the new one has a higher
// version.
func (p *Poller) applyQuarantine(l *encoder.QuarantineList) {
	if l == nil || l.Version <= p.reporter.quarantineVersion {
		return
	}
	p.reporter.quarantineVersion = l.Version
	now := p.clock.Now()
	expiries := make(map[identifier.Fingerprint]time.Time, len(l.Quarantined))
	for _, q := range l.Quarantined {
		expiries[q.Fingerprint] = now.Add(q.Remaining)
	}
	p.publish(func(s *State) { s.Quarantined = expiries })
}

// updateLeader publishes the leader's address if it has changed.
func (p *Poller) updateLeader() {
	if leader := p.group.leaderAddress(); leader != p.State().Leader {
		p.publish(func(s *State) { s.Leader = leader })
	}
}

// updateFreshness extends the time for which the manifest is proven to be in force, and publishes
// whether it is in force now.
func (p *Poller) updateFreshness() {
	now := p.clock.Now()
	p.group.dropBefore(now.Add(-freshness))
	applied := p.State().ManifestText.Number
	if at, ok := p.group.provenAt(applied); ok {
		if until := at.Add(freshness); until.After(*p.freshUntil.Load()) {
			p.freshUntil.Store(&until)
		}
	}
	if fresh := p.IsFresh(); fresh != p.State().Fresh {
		p.publish(func(s *State) { s.Fresh = fresh })
	}
}

// publish replaces the state with a changed copy and notifies the subscribers.
func (p *Poller) publish(change func(s *State)) {
	before := p.State()
	next := *before
	change(&next)
	p.invariants.Check(next.ManifestText.Number >= before.ManifestText.Number, "applied_manifest_never_falls", "%d after %d", next.ManifestText.Number, before.ManifestText.Number)
	p.invariants.Check(next.View.Epoch >= before.View.Epoch, "applied_epoch_never_falls", "%s after %s", next.View.Epoch, before.View.Epoch)
	p.state.Store(&next)
	p.subscribersMutex.Lock()
	defer p.subscribersMutex.Unlock()
	for _, c := range p.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
