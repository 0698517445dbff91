package selector

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type PassCause -trimprefix Pass -transform snake -output passcause_enumer.go

// PassCause is a reason why a server is not chosen, or has a worse score.
type PassCause uint8

// Causes. Servers with one of the first two are never chosen.
const (
	// PassNoToken means that the server names a limit or is cold, and has no token.
	PassNoToken PassCause = iota
	// PassReplaced means that another server replied at its address.
	PassReplaced
	// PassSilent means that it sends no heartbeats.
	PassSilent
	// PassDown means that connecting to it failed several times in a row, and PassBlocked that it failed just
	// now or that it accepts no further connection.
	PassDown
	PassBlocked
	// PassSlow means that the docks together find it slow.
	PassSlow
	// PassFailing means that many of this dock's requests to it failed lately.
	PassFailing
	// PassOverdue means that a request of this dock at it takes much longer than usual.
	PassOverdue
	// PassCold means that it says that it is cold.
	PassCold
	// PassOverPace means that it is in slow start and has as many requests as it may have. PassSlowStart
	// means that it is in slow start and gets a part of the requests only.
	PassOverPace
	PassSlowStart
	// PassQueue means that its queue is long.
	PassQueue
	// PassFar means that it is in another failure domain over a long link.
	PassFar
	// PassOutsideSubset means that this dock does not plan to hold connections to it.
	PassOutsideSubset
	// PassScore means that only its score is worse.
	PassScore
)

// Passed is a server that was passed over in a choice.
type Passed struct {
	ID     encoder.ServerID
	Domain identifier.DomainName
	IsNear bool
	// Score is the server's score, or zero if it could not be chosen or was not compared.
	Score  float64
	Causes []PassCause
	// Seen is the time since the server was last observed. It is negative if the server was never observed.
	Seen time.Duration
}

// PassedOver returns the servers of a service other than the one that a snapshot has chosen last, the best
// first, and those that could not be chosen last.
func (s *Selector) PassedOver(now time.Time, service identifier.ServiceName, chosen encoder.ServerID) []Passed {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []Passed{}
	for _, v := range s.services[service] {
		if v.info.ID == chosen {
			continue
		}
		p := Passed{ID: v.info.ID, Domain: v.info.Domain, IsNear: v.info.Domain == s.domain, Seen: v.age(now), Causes: s.passCauses(now, v)}
		if s.mayChoose(now, v, nil) {
			p.Score = s.scores[v.info.ID]
		}
		list = append(list, p)
	}
	slices.SortStableFunc(list, func(a, b Passed) int {
		if a.Score == 0 || b.Score == 0 {
			return cmp.Compare(b.Score, a.Score)
		}
		return cmp.Compare(a.Score, b.Score)
	})
	return list
}

// passCauses returns the reasons that count against a server. The caller holds the lock.
func (s *Selector) passCauses(now time.Time, v *server) []PassCause {
	isOverPace := v.isOverPace(now)
	checks := []struct {
		cause PassCause
		holds bool
	}{
		{PassNoToken, v.lacksToken(now)},
		{PassReplaced, v.isReplaced(now)},
		{PassSilent, v.info.Silent},
		{PassDown, v.isDown()},
		{PassBlocked, now.Before(v.blockedUntil)},
		{PassSlow, s.slowServers[v.info.ID] > 0},
		{PassFailing, v.isFailing(now)},
		{PassOverdue, v.overdue(now) > 0},
		{PassCold, v.isCold(now)},
		{PassOverPace, isOverPace},
		{PassSlowStart, v.pace.isActive() && !isOverPace},
		{PassQueue, v.isFull(now)},
		{PassFar, s.longRoundTrip(v.info.Domain) > 0},
		{PassOutsideSubset, v.isOutsideSubset},
	}
	causes := []PassCause{}
	for _, c := range checks {
		if c.holds {
			causes = append(causes, c.cause)
		}
	}
	if len(causes) == 0 {
		return []PassCause{PassScore}
	}
	return causes
}
