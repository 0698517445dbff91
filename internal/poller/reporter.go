package poller

import (
	"net/netip"
	"reflect"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// announcementTimeout is how long after a server's last announcement the dock drops it.
const announcementTimeout = 10 * time.Second

// reporter decides what a poll reports to the leader: everything once to each new leader, and
// afterwards only what has changed since the last poll that this leader acknowledged.
type reporter struct {
	sequence uint64
	// isUrgent requests a poll out of turn.
	isUrgent bool
	// isViewRequested is set when a leader has requested the dock's view.
	isViewRequested   bool
	quarantineVersion uint64

	announcements map[netip.AddrPort]*announcement

	// The leader that receives the reports.
	term   uint64
	leader identifier.HostName
	// isFullReportAcked is set when this leader has acknowledged a full report.
	isFullReportAcked bool
	// ackedHost is the description of the dock that this leader acknowledged last.
	ackedHost encoder.Host
}

// announcement is a server's latest announcement and how much of it the leader has acknowledged.
type announcement struct {
	server        encoder.Server
	version       uint64
	lastSeen      time.Time
	ackedVersion  uint64
	ackedLastSeen time.Time
}

// report is what one poll reports to the leader.
type report struct {
	term uint64
	// isFull is set if the report contains everything that a new leader needs.
	isFull   bool
	host     encoder.Host
	hasView  bool
	versions map[netip.AddrPort]uint64
	lastSeen map[netip.AddrPort]time.Time
}

// newReporter returns a reporter without announcements.
func newReporter() reporter {
	return reporter{announcements: map[netip.AddrPort]*announcement{}}
}

// announce stores a server's announcement for the next polls.
func (r *reporter) announce(now time.Time, server encoder.Server) {
	a := r.announcements[server.Address]
	if a == nil {
		a = &announcement{}
		r.announcements[server.Address] = a
	}
	a.lastSeen = now
	if a.version == 0 || !reflect.DeepEqual(a.server, server) {
		a.server = server
		a.version++
		r.isUrgent = true
	}
}

// expire drops servers that no longer announce themselves to this dock. They may announce
// themselves to another one.
func (r *reporter) expire(now time.Time) {
	for address, a := range r.announcements {
		if now.Sub(a.lastSeen) >= announcementTimeout {
			delete(r.announcements, address)
		}
	}
}

// buildReport adds the report to the leader to a poll request. It returns the report, which must be
// passed to handleReply together with the reply.
func (r *reporter) buildReport(now time.Time, host encoder.Host, state *State, q *encoder.PollRequest) *report {
	r.sequence++
	r.isUrgent = false
	t := &report{
		term:     r.term,
		isFull:   !r.isFullReportAcked,
		host:     host,
		versions: map[netip.AddrPort]uint64{},
		lastSeen: map[netip.AddrPort]time.Time{},
	}
	q.Sequence = r.sequence
	q.KnownEpoch = state.View.Epoch
	q.KnownQuarantine = r.quarantineVersion
	if host != r.ackedHost || t.isFull {
		q.Host = &host
	}
	if t.isFull {
		q.Quarantined = remainingQuarantines(now, state.Quarantined)
	}
	if r.isViewRequested && state.View.Epoch != 0 {
		q.View = state.View
		t.hasView = true
	}
	for address, a := range r.announcements {
		r.addServer(now, address, a, t, q)
	}
	return t
}

// addServer adds one server to the request unless the leader has acknowledged its latest
// announcement.
func (r *reporter) addServer(now time.Time, address netip.AddrPort, a *announcement, t *report, q *encoder.PollRequest) {
	age := now.Sub(a.lastSeen)
	switch {
	case t.isFull || a.version != a.ackedVersion:
		q.Announcements = append(q.Announcements, encoder.Announcement{Server: a.server, Age: age})
	case a.lastSeen.After(a.ackedLastSeen):
		q.Heard = append(q.Heard, encoder.AnnouncementAge{Address: address, AgeMillis: uint32(age.Milliseconds())})
	default:
		return
	}
	t.versions[address] = a.version
	t.lastSeen[address] = a.lastSeen
}

// setLeader starts over with a full report if the leader or its term is new.
func (r *reporter) setLeader(term uint64, leader identifier.HostName) {
	if r.term == term && r.leader == leader {
		return
	}
	r.term = term
	r.leader = leader
	r.isFullReportAcked = false
	r.isUrgent = leader != ""
}

// handleReply handles a leader's reply to a report.
func (r *reporter) handleReply(t *report, reply encoder.PollReply) {
	isLeader := reply.Term == r.term && reply.Keeper == r.leader && reply.Leader == r.leader
	// Unless it is full, a report to the leader of an earlier term may lack what this leader needs.
	if t == nil || !isLeader || (!t.isFull && t.term != r.term) {
		return
	}
	if t.hasView {
		r.isViewRequested = false
	}
	if reply.SendView {
		r.isViewRequested = true
		r.isUrgent = true
	}
	if reply.Resend {
		r.isFullReportAcked = false
		r.isUrgent = true
		return
	}
	r.acknowledge(t)
}

// acknowledge records that the leader has received a report.
func (r *reporter) acknowledge(t *report) {
	r.isFullReportAcked = true
	r.ackedHost = t.host
	for address, version := range t.versions {
		if a := r.announcements[address]; a != nil {
			a.ackedVersion = version
			a.ackedLastSeen = t.lastSeen[address]
		}
	}
}

// remainingQuarantines lists the quarantined fingerprints with the time that remains for each.
func remainingQuarantines(now time.Time, expiries map[identifier.Fingerprint]time.Time) []encoder.Quarantine {
	var all []encoder.Quarantine
	for f, expiry := range expiries {
		if remaining := expiry.Sub(now); remaining > 0 {
			all = append(all, encoder.Quarantine{Fingerprint: f, Remaining: remaining})
		}
	}
	return all
}
