package publisher

import (
	"net/netip"
	"reflect"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// drainingHoldTime is how much newer than the last report another one must be to undo the
	// draining of the same incarnation. Reports of one server arrive through several docks, and
	// their ages are known only to within a poll's delay.
	drainingHoldTime = 2 * time.Second
	// minDomainServers is the smallest group of servers, in one failure domain or in all of them,
	// that is evaluated as a whole.
	minDomainServers = 3
	// allSilentGrace is how much longer servers are kept if no server at all announces itself,
	// because then the announcements are probably lost on the way and the servers are still
	// running.
	allSilentGrace = time.Minute
)

// server is the leader's record of one backend server.
type server struct {
	announced encoder.Server
	lastSeen  time.Time
}

// updateServers applies the poll's report on servers. It reports whether the poll repeats an
// announcement that the leader does not hold.
func (p *Publisher) updateServers(now time.Time, request encoder.PollRequest) bool {
	for _, a := range request.Announcements {
		p.updateServer(now.Add(-a.Age), a.Server)
	}
	unknown := false
	for _, h := range request.Heard {
		s := p.servers[h.Address]
		if s == nil {
			unknown = true
			continue
		}
		s.markSeen(now.Add(-time.Duration(h.AgeMillis) * time.Millisecond))
	}
	return unknown
}

// updateServer stores an announcement if it is the newest one of its server.
func (p *Publisher) updateServer(seen time.Time, announced encoder.Server) {
	s := p.servers[announced.Address]
	if s == nil {
		p.servers[announced.Address] = &server{announced: announced, lastSeen: seen}
		p.dirtyServers[announced.Address] = true
		return
	}
	if s.isOutdated(seen, announced) {
		return
	}
	s.markSeen(seen)
	if !reflect.DeepEqual(s.announced, announced) {
		s.announced = announced
		p.dirtyServers[announced.Address] = true
	}
}

// isOutdated reports whether an announcement must not replace the stored one because it is older.
func (s *server) isOutdated(seen time.Time, announced encoder.Server) bool {
	if announced.Incarnation != s.announced.Incarnation {
		return seen.Before(s.lastSeen)
	}
	if announced.State == encoder.ServerDraining {
		return false
	}
	if s.announced.State == encoder.ServerDraining {
		return seen.Sub(s.lastSeen) < drainingHoldTime
	}
	return seen.Before(s.lastSeen)
}

// markSeen records the time of the newest announcement.
func (s *server) markSeen(seen time.Time) {
	if seen.After(s.lastSeen) {
		s.lastSeen = seen
	}
}

// expireServers removes servers that have been silent for too long. If all servers of a failure
// domain are silent while others are not, they are removed in one view.
func (p *Publisher) expireServers(now time.Time) {
	var newest time.Time
	domainLastSeen := map[identifier.DomainName]time.Time{}
	counts := map[identifier.DomainName]int{}
	for _, s := range p.servers {
		domain := s.announced.Domain
		counts[domain]++
		if s.lastSeen.After(domainLastSeen[domain]) {
			domainLastSeen[domain] = s.lastSeen
		}
		if s.lastSeen.After(newest) {
			newest = s.lastSeen
		}
	}
	silence := p.limits.ServerSilence
	if len(p.servers) >= minDomainServers && now.Sub(newest) >= p.limits.ServerDomainSilence {
		silence += allSilentGrace
	}
	for address, s := range p.servers {
		domain := s.announced.Domain
		isDomainLost := counts[domain] >= minDomainServers &&
			newest.Sub(domainLastSeen[domain]) >= p.limits.ServerDomainSilence
		if isDomainLost || now.Sub(s.lastSeen) >= silence {
			p.removeServer(address)
		}
	}
}

// removeServer removes a server from the directory.
func (p *Publisher) removeServer(address netip.AddrPort) {
	delete(p.servers, address)
	p.dirtyServers[address] = true
}
