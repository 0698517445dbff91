package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	service = "ledger"
	// measureSlack allows for the time between an event and its record.
	measureSlack = 100 * time.Millisecond
	// stayTime is how long a searcher serves on after its departure was acknowledged: drainMs and a little
	// longer.
	stayTime = drainTime + 800*time.Millisecond
	// lateTime is how late the heartbeats of a leaving searcher arrive.
	lateTime = 5 * time.Second
	// unacknowledgedStay is how long a searcher serves on that gets no acknowledgement.
	unacknowledgedStay = 4 * time.Second
)

// fleet is a deployment with two docks, a service of three searchers and its requesters.
type fleet struct {
	searchers  []*searcher
	requesters *requesters
}

// startFleet starts everything and returns when it has been calm for the stability window.
func startFleet(d *deployment) (*fleet, error) {
	docks := []int{firstDock, firstDock + 1}
	if err := d.startKeepers(); err != nil {
		return nil, err
	}
	for _, dock := range docks {
		if err := d.startDock(dock); err != nil {
			return nil, err
		}
	}
	if err := d.putConfiguration(configuration(1, nil, []string{service}), []int{1, 2, 3, 4, 5}); err != nil {
		return nil, err
	}
	f := &fleet{}
	for i := range 3 {
		s, err := startSearcher(d, service, firstSearcher+i)
		if err != nil {
			return nil, err
		}
		f.searchers = append(f.searchers, s)
	}
	time.Sleep(stabilityWindow + 2*time.Second)
	f.requesters = startRequesters(d, docks, 3, service)
	time.Sleep(stabilityWindow)
	for _, s := range f.searchers {
		if len(s.list()) == 0 {
			return nil, fmt.Errorf("%s gets no requests", s.id)
		}
	}
	return f, nil
}

// departureElsewhere lets a searcher leave that never reports draining: it sends DELETE first, serves on,
// and exits. With the disruption, the DELETE goes to a control node other than that of the heartbeats, as
// any caller may pick one; otherwise to the same one.
func departureElsewhere(d *deployment, hasTrouble bool) (verdict, error) {
	f, err := startFleet(d)
	if err != nil {
		return verdict{}, err
	}
	s := f.searchers[0]
	s.isSilent.Store(true)
	if !s.beat("ready", 0) {
		return verdict{}, fmt.Errorf("a heartbeat was not acknowledged")
	}
	s.mutex.Lock()
	to := s.endpoint
	s.mutex.Unlock()
	if hasTrouble {
		to = d.address(s.otherKeeper(), portControl)
	}
	s.isLeaving.Store(true)
	status, _ := d.call(http.MethodDelete, "http://"+to+"/api/instances/"+s.id, "")
	acknowledged := time.Now()
	d.records.add("%s, whose heartbeats go to %s, sends DELETE to %s: status %d", s.id, s.endpoint, to, status)
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("DELETE was not acknowledged")
	}
	time.Sleep(stayTime)
	s.exitAtWork()
	time.Sleep(2 * time.Second)
	f.requesters.end()
	late := 0
	for _, a := range s.list() {
		if a.at.Sub(acknowledged) > drainTime+measureSlack {
			late++
			d.records.trace(a.at, "TOO LATE: request %s reaches %s, %.3f s after its DELETE was acknowledged", a.id, s.id, a.at.Sub(acknowledged).Seconds())
		}
	}
	lost := f.countLost(d, s)
	detail := fmt.Sprintf("%d requests reached %s later than %s after its DELETE was acknowledged; %d of the requests that it ran got no answer from it", late, s.id, drainTime, lost)
	return verdict{isBroken: late > 0, detail: detail}, nil
}

// leavingInAnswers lets a searcher leave. It says so in its answers and in its heartbeats; with the
// disruption, these arrive late.
func leavingInAnswers(d *deployment, hasTrouble bool) (verdict, error) {
	f, err := startFleet(d)
	if err != nil {
		return verdict{}, err
	}
	s := f.searchers[0]
	s.isSilent.Store(true)
	if !s.beat("ready", 0) {
		return verdict{}, fmt.Errorf("a heartbeat was not acknowledged")
	}
	s.isLeaving.Store(true)
	d.records.add("%s leaves: it answers with Server-Leaving and reports draining", s.id)
	acknowledged := make(chan struct{}, 1)
	go s.reportDraining(hasTrouble, acknowledged)
	select {
	case <-acknowledged:
		time.Sleep(stayTime)
	case <-time.After(unacknowledgedStay):
	}
	s.exitAtWork()
	time.Sleep(2 * time.Second)
	f.requesters.end()
	told := f.firstTold(d, s)
	late := 0
	for _, a := range s.list() {
		q := f.requesters.get(a.id)
		at, isTold := told[q.dock]
		if isTold && q.sent.Sub(at) > drainTime+measureSlack {
			late++
			d.records.trace(a.at, "TOO LATE: request %s, sent %.3f s after dock %d had passed on an answer with Server-Leaving, reaches %s", a.id, q.sent.Sub(at).Seconds(), q.dock, s.id)
		}
	}
	lost := f.countLost(d, s)
	detail := fmt.Sprintf("%d requests sent later than %s after their dock had passed on an answer with Server-Leaving reached %s; %d of the requests that it ran got no answer from it", late, drainTime, s.id, lost)
	return verdict{isBroken: late > 0, detail: detail}, nil
}

// reportDraining sends heartbeats that say that the searcher drains, until it exits. With isLate they arrive
// late, so that they count as not acknowledged.
func (s *searcher) reportDraining(isLate bool, acknowledged chan<- struct{}) {
	for s.ctx.Err() == nil {
		switch {
		case isLate:
			go s.beat("draining", lateTime)
		case s.beat("draining", 0):
			select {
			case acknowledged <- struct{}{}:
			default:
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// firstTold returns when each dock first passed on an answer of a searcher that said that it leaves.
func (f *fleet) firstTold(d *deployment, s *searcher) map[int]time.Time {
	told := map[int]time.Time{}
	for _, q := range f.requesters.list() {
		if at, ok := told[q.dock]; q.saysLeaving && (!ok || q.done.Before(at)) {
			told[q.dock] = q.done
		}
	}
	for dock, at := range told {
		d.records.trace(at, "dock %d passes on the first answer of %s with Server-Leaving", dock, s.id)
	}
	return told
}

// countLost returns the number of requests that a searcher began to run and did not answer.
func (f *fleet) countLost(d *deployment, s *searcher) int {
	lost := 0
	for _, a := range s.list() {
		if a.answered.IsZero() {
			lost++
			d.records.trace(a.at, "request %s ran at %s and was lost when that exited; the requester got status %d", a.id, s.id, f.requesters.get(a.id).status)
		}
	}
	return lost
}
