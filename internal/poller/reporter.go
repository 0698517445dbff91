package poller

import (
	"net/netip"
	"reflect"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// announcementSilence is how long a server may be silent before the dock forgets what it
// announced.
const announcementSilence = 10 * time.Second

// reporter decides what a poll tells the leader: everything once for each new leader,
// afterwards what has changed since the last poll that this leader acknowledged.
type reporter struct {
	sequence uint64
	// isUrgent asks for a poll out of turn.
	isUrgent bool
	// wantsView is set by a leader that asks for the dock's view.
	wantsView         bool
	quarantineVersion uint64

	announcements map[netip.AddrPort]*announcement

	// The leader that is reported to.
	term   uint64
	leader identifier.HostName
	// isKnown says that this leader has acknowledged a full report.
	isKnown bool
	// ackedHost is the dock's description as this leader acknowledged it.
	ackedHost encoder.Host
}

// announcement is a server's last word and how much of it the leader has acknowledged.
type announcement struct {
	server       encoder.Server
	version      uint64
	heard        time.Time
	ackedVersion uint64
	ackedHeard   time.Time
}

// report is what one poll tells the leader.
type report struct {
	term uint64
	// isFull says that the report holds all that a new leader needs.
	isFull   bool
	host     encoder.Host
	sentView bool
	versions map[netip.AddrPort]uint64
	heard    map[netip.AddrPort]time.Time
}

// newReporter returns a reporter with nothing to tell.
func newReporter() reporter {
	return reporter{announcements: map[netip.AddrPort]*announcement{}}
}

// announce keeps a server's announcement for the next polls.
func (r *reporter) announce(now time.Time, server encoder.Server) {
	a := r.announcements[server.Address]
	if a == nil {
		a = &announcement{}
		r.announcements[server.Address] = a
	}
	a.heard = now
	if a.version == 0 || !reflect.DeepEqual(a.server, server) {
		a.server = server
		a.version++
		r.isUrgent = true
	}
}

// expire forgets servers that have been silent here. They may announce themselves
// elsewhere now.
func (r *reporter) expire(now time.Time) {
	for address, a := range r.announcements {
		if now.Sub(a.heard) >= announcementSilence {
			delete(r.announcements, address)
		}
	}
}

// report fills in what the request tells the leader.
func (r *reporter) report(now time.Time, host encoder.Host, state *State, q *encoder.PollRequest) *report {
	r.sequence++
	r.isUrgent = false
	t := &report{
		term:     r.term,
		isFull:   !r.isKnown,
		host:     host,
		versions: map[netip.AddrPort]uint64{},
		heard:    map[netip.AddrPort]time.Time{},
	}
	q.Sequence = r.sequence
	q.KnownEpoch = state.View.Epoch
	q.KnownQuarantine = r.quarantineVersion
	if host != r.ackedHost || t.isFull {
		q.Host = &host
	}
	if t.isFull {
		q.Quarantined = remaining(now, state.Quarantined)
	}
	if r.wantsView && state.View.Epoch != 0 {
		q.View = state.View
		t.sentView = true
	}
	for address, a := range r.announcements {
		r.reportServer(now, address, a, t, q)
	}
	return t
}

// reportServer adds one server to the request unless the leader knows all of it.
func (r *reporter) reportServer(now time.Time, address netip.AddrPort, a *announcement, t *report, q *encoder.PollRequest) {
	age := now.Sub(a.heard)
	switch {
	case t.isFull || a.version != a.ackedVersion:
		q.Announcements = append(q.Announcements, encoder.Announcement{Server: a.server, Age: age})
	case a.heard.After(a.ackedHeard):
		q.Heard = append(q.Heard, encoder.AnnouncementAge{Address: address, AgeMillis: uint32(age.Milliseconds())})
	default:
		return
	}
	t.versions[address] = a.version
	t.heard[address] = a.heard
}

// follow starts anew with a new leader, or with one that begins another term.
func (r *reporter) follow(term uint64, leader identifier.HostName) {
	if r.term == term && r.leader == leader {
		return
	}
	r.term = term
	r.leader = leader
	r.isKnown = false
	r.isUrgent = leader != ""
}

// receive takes in a leader's reply to a report.
func (r *reporter) receive(t *report, reply encoder.PollReply) {
	isLeader := reply.Term == r.term && reply.Keeper == r.leader && reply.Leader == r.leader
	// A report to the leader of an earlier term may lack what this one needs.
	if t == nil || !isLeader || (!t.isFull && t.term != r.term) {
		return
	}
	if t.sentView {
		r.wantsView = false
	}
	if reply.SendView {
		r.wantsView = true
		r.isUrgent = true
	}
	if reply.Resend {
		r.isKnown = false
		r.isUrgent = true
		return
	}
	r.acknowledge(t)
}

// acknowledge records what the leader knows now.
func (r *reporter) acknowledge(t *report) {
	r.isKnown = true
	r.ackedHost = t.host
	for address, version := range t.versions {
		if a := r.announcements[address]; a != nil {
			a.ackedVersion = version
			a.ackedHeard = t.heard[address]
		}
	}
}

// remaining lists quarantined fingerprints with the time left.
func remaining(now time.Time, ends map[identifier.Fingerprint]time.Time) []encoder.Quarantine {
	var all []encoder.Quarantine
	for f, end := range ends {
		if left := end.Sub(now); left > 0 {
			all = append(all, encoder.Quarantine{Fingerprint: f, Remaining: left})
		}
	}
	return all
}
