package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/granter"
	"banyandock.example/banyandock/internal/identifier"
)

var (
	// errNotLeading reports a keeper that was asked for permits and does not lead.
	errNotLeading = eris.New("the keeper does not lead")
	// errPermitsLate reports a keeper that did not answer within permitWait.
	errPermitsLate = eris.New("no permits in time")
)

// permitMessage is one request to the leading keeper and its reply.
type permitMessage struct {
	permits *permits
	request encoder.QuotaRequest
	// calls are the calls of each want.
	calls [][]*permitCall
	asked granter.Instant
	reply encoder.QuotaReply
	err   error
	// done is closed when reply and err are set.
	done chan struct{}
}

// newPermitMessage returns the request for some calls of one configuration.
func (p *permits) newPermitMessage(calls []*permitCall) *permitMessage {
	m := &permitMessage{permits: p, asked: p.now(), done: make(chan struct{})}
	m.request.Configuration = calls[0].configuration
	index := map[identifier.CustomerName]int{}
	for _, c := range calls {
		n, ok := index[c.customer.Name]
		if !ok {
			n = len(m.calls)
			index[c.customer.Name] = n
			m.calls = append(m.calls, nil)
			m.request.Wants = append(m.request.Wants, encoder.QuotaWant{Customer: c.customer.Name, Rate: c.customer.Rate, Burst: c.customer.Burst})
		}
		m.calls[n] = append(m.calls[n], c)
		m.request.Wants[n].Count++
	}
	return m
}

// askLeader asks the leading keeper for the permits of some calls. If it does not answer in time, the
// reserves are asked, and permits that arrive later are returned.
func (p *permits) askLeader(calls []*permitCall) {
	f := p.forwarder
	m := p.newPermitMessage(calls)
	m.request.Returned = p.takeReturns()
	f.tasks.Add(1)
	go m.run()
	timer := f.clock.NewTimer(permitWait)
	defer timer.Stop()
	isLate := false
	select {
	case <-m.done:
	case <-timer.C:
		isLate = !m.isDone()
	}
	if isLate {
		p.leaderFailed(len(calls), errPermitsLate)
		f.tasks.Add(1)
		go m.returnLate()
		p.startReserve(calls)
		return
	}
	if m.err != nil {
		p.leaderFailed(len(calls), m.err)
		p.startReserve(calls)
		return
	}
	p.startReserve(m.distribute())
}

// isDone reports whether the reply has arrived. After a pause of this process, the timer may have fired as well.
func (m *permitMessage) isDone() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// run sends the request to the leading keeper.
func (m *permitMessage) run() {
	f := m.permits.forwarder
	defer f.tasks.Done()
	defer close(m.done)
	ctx, cancel := context.WithTimeout(f.ctx, permitTimeout)
	defer cancel()
	m.reply, m.err = m.permits.issuer.RequestPermits(ctx, m.request)
	if m.err == nil && len(m.reply.Grants) != len(m.request.Wants) {
		m.err = errNotLeading
	}
}

// returnLate returns the permits of a reply that no call waits for any more.
func (m *permitMessage) returnLate() {
	p := m.permits
	defer p.forwarder.tasks.Done()
	<-m.done
	if m.err != nil {
		return
	}
	for n, g := range m.reply.Grants {
		for range min(g.Granted, m.request.Wants[n].Count) {
			p.giveBack(granter.NewPermit(m.request.Wants[n].Customer, m.asked, m.reply))
		}
	}
}

// distribute passes the permits on to the calls. It returns the calls without one that reserves may help,
// because the leader is new.
func (m *permitMessage) distribute() []*permitCall {
	p := m.permits
	left := []*permitCall{}
	for n, calls := range m.calls {
		g := m.reply.Grants[n]
		p.recordUse(m.request.Wants[n].Customer, g.Use)
		for i, c := range calls {
			// Each call that is refused waits for a permit of its own.
			wait := g.Wait + time.Duration(float64(max(0, i-g.Granted))/c.customer.Rate*float64(time.Second))
			switch {
			case i < g.Granted:
				p.deliver(c, permitResult{outcome: permitGranted, permit: granter.NewPermit(c.customer.Name, m.asked, m.reply)})
			case m.reply.IsNew:
				c.wait = wait
				left = append(left, c)
			default:
				p.deliver(c, permitResult{outcome: permitOverQuota, wait: wait})
			}
		}
	}
	return left
}

// recordUse records what the leader said of a customer.
func (p *permits) recordUse(customer identifier.CustomerName, multiple float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.uses[customer] = recentUse{multiple: multiple, at: p.forwarder.clock.Now()}
}

// startReserve asks the reserves for the permits of some calls. It does not wait, so that other calls can ask
// the leader meanwhile.
func (p *permits) startReserve(calls []*permitCall) {
	if len(calls) == 0 {
		return
	}
	p.forwarder.tasks.Add(1)
	go (&reserveSearch{permits: p, calls: calls}).run()
}

// reserveSearch asks one keeper after the other for permits of their reserves.
type reserveSearch struct {
	permits *permits
	calls   []*permitCall
}

// run asks the keepers until each call has a permit, and refuses the calls that got none.
func (s *reserveSearch) run() {
	p := s.permits
	defer p.forwarder.tasks.Done()
	s.refuseEmpty()
	for _, keeper := range p.shuffledKeepers() {
		s.calls = p.withoutAbandoned(s.calls)
		if len(s.calls) == 0 {
			return
		}
		m := p.newPermitMessage(s.calls)
		m.request.IsReserve = true
		ctx, cancel := context.WithTimeout(p.forwarder.ctx, reserveTimeout)
		reply, err := p.issuer.RequestReserve(ctx, keeper, m.request)
		cancel()
		if err == nil && len(reply.Grants) == len(m.request.Wants) {
			m.reply = reply
			s.calls = m.distributeReserve()
		}
	}
	p.recordEmpty(s.calls)
	s.refuse(s.calls)
}

// withoutAbandoned returns the calls that still wait, because a reserve takes no permits back.
func (p *permits) withoutAbandoned(calls []*permitCall) []*permitCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.DeleteFunc(calls, func(c *permitCall) bool { return c.isAbandoned })
}

// distributeReserve passes the permits on to the calls. It returns the calls without one.
func (m *permitMessage) distributeReserve() []*permitCall {
	left := []*permitCall{}
	for n, calls := range m.calls {
		granted := min(len(calls), m.reply.Grants[n].Granted)
		for _, c := range calls[:granted] {
			m.permits.deliver(c, permitResult{outcome: permitGranted, permit: granter.NewPermit(c.customer.Name, m.asked, encoder.QuotaReply{})})
		}
		left = append(left, calls[granted:]...)
	}
	return left
}

// refuseEmpty refuses the calls for whose customers no reserve had permits within reserveRetryInterval.
func (s *reserveSearch) refuseEmpty() {
	p := s.permits
	now := p.forwarder.clock.Now()
	refused, left := []*permitCall{}, []*permitCall{}
	p.mutex.Lock()
	for _, c := range s.calls {
		if now.Before(p.emptyUntil[c.customer.Name]) {
			refused = append(refused, c)
		} else {
			left = append(left, c)
		}
	}
	p.mutex.Unlock()
	s.calls = left
	s.refuse(refused)
}

// recordEmpty records that no reserve has permits for the customers of some calls.
func (p *permits) recordEmpty(calls []*permitCall) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.forwarder.clock.Now()
	for _, c := range calls {
		p.emptyUntil[c.customer.Name] = now.Add(reserveRetryInterval)
	}
}

// refuse refuses calls of which it is not known whether they are within the quota.
func (s *reserveSearch) refuse(calls []*permitCall) {
	for _, c := range calls {
		s.permits.deliver(c, permitResult{outcome: permitUnknown, wait: max(unknownRetryAfter, c.wait)})
	}
}
