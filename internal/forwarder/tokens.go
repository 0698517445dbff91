package forwarder

import (
	"context"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
)

const (
	// tokenTimeout bounds a request for tokens. Without an answer, servers that name limits get no
	// requests.
	tokenTimeout = 60 * time.Millisecond
	// issuerRetryInterval is how long no tokens are requested after a request has failed.
	issuerRetryInterval = 100 * time.Millisecond
)

// TokenIssuer issues tokens for the servers that name limits, to all docks together.
type TokenIssuer interface {
	RequestTokens(ctx context.Context, r encoder.TokenRequest) (encoder.TokenReply, error)
}

// tokens requests tokens for this dock. Groups that queries ask for while a request is under way are
// sent together in the next one. It is safe for concurrent use.
type tokens struct {
	// Set at creation.
	forwarder *Forwarder

	// Set before the first request. It is nil on a dock that no keeper issues tokens to.
	issuer TokenIssuer

	// Guarded by mutex.
	mutex   sync.Mutex
	waiting []*tokenCall
	// isRunning is set while requests are sent. isReportDue is set if limits must be reported even if
	// no tokens are wanted.
	isRunning   bool
	isReportDue bool
	// failedUntil is the time until which no tokens are requested.
	failedUntil time.Time
}

// tokenCall is a group that waits for its tokens.
type tokenCall struct {
	group encoder.TokenGroup
	// granted receives the server of each choice, or nothing if the group gets no tokens.
	granted chan []encoder.ServerID
}

// SetTokenIssuer sets the issuer of tokens. It must be called before the first request.
func (f *Forwarder) SetTokenIssuer(issuer TokenIssuer) { f.tokens.issuer = issuer }

// acquire returns the server of each choice of a group for which there is a token, or nil if the group
// gets none.
func (t *tokens) acquire(ctx context.Context, group encoder.TokenGroup) []encoder.ServerID {
	c := &tokenCall{group: group, granted: make(chan []encoder.ServerID, 1)}
	if !t.enqueue(c) {
		return nil
	}
	select {
	case servers := <-c.granted:
		return servers
	case <-ctx.Done():
		return nil
	}
}

// acquireOne reports whether there is a token for one server.
func (t *tokens) acquireOne(ctx context.Context, server encoder.ServerID) bool {
	return len(t.acquire(ctx, encoder.TokenGroup{Needed: 1, Choices: []encoder.TokenChoice{{Servers: []encoder.ServerID{server}}}})) > 0
}

// enqueue adds a group to the next request. It returns false if tokens cannot be requested at present.
func (t *tokens) enqueue(c *tokenCall) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.issuer == nil || t.forwarder.clock.Now().Before(t.failedUntil) {
		return false
	}
	t.waiting = append(t.waiting, c)
	t.start()
	return true
}

// reportLimits makes the leading keeper learn of limits that this dock has heard of.
func (t *tokens) reportLimits() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.issuer == nil {
		return
	}
	t.isReportDue = true
	t.start()
}

// start starts to send requests unless that is under way. The caller holds the lock.
func (t *tokens) start() {
	if t.isRunning || t.forwarder.ctx.Err() != nil {
		return
	}
	t.isRunning = true
	t.forwarder.tasks.Add(1)
	go t.run()
}

// run sends requests until no group waits.
func (t *tokens) run() {
	defer t.forwarder.tasks.Done()
	for {
		calls, ok := t.next()
		if !ok {
			return
		}
		t.send(calls)
	}
}

// next returns the groups of the next request. It returns false if none is due.
func (t *tokens) next() ([]*tokenCall, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.waiting) == 0 && !t.isReportDue {
		t.isRunning = false
		return nil, false
	}
	calls := t.waiting
	t.waiting, t.isReportDue = nil, false
	return calls, true
}

// send sends one request and passes the tokens on.
func (t *tokens) send(calls []*tokenCall) {
	f := t.forwarder
	request := encoder.TokenRequest{}
	servers := map[encoder.ServerID]bool{}
	for _, c := range calls {
		request.Groups = append(request.Groups, c.group)
		for _, choice := range c.group.Choices {
			for _, id := range choice.Servers {
				servers[id] = true
			}
		}
	}
	request.Limits = f.selector.TakeLimits(f.clock.Now(), servers)
	ctx, cancel := context.WithTimeout(f.ctx, tokenTimeout)
	defer cancel()
	reply, err := t.issuer.RequestTokens(ctx, request)
	if err != nil {
		t.handleFailure(request, err)
	}
	f.selector.MergeLimits(f.clock.Now(), reply.Limits)
	f.selector.ApplyWaits(f.clock.Now(), reply.Waits)
	for i, c := range calls {
		if i < len(reply.Grants) && len(reply.Grants[i].Servers) == len(c.group.Choices) {
			c.granted <- reply.Grants[i].Servers
		} else {
			c.granted <- nil
		}
	}
}

// handleFailure keeps what could not be reported for the next request.
func (t *tokens) handleFailure(request encoder.TokenRequest, err error) {
	f := t.forwarder
	f.selector.RestoreLimits(request.Limits)
	t.mutex.Lock()
	t.failedUntil = f.clock.Now().Add(issuerRetryInterval)
	t.mutex.Unlock()
	if f.ctx.Err() == nil {
		f.log.Warn().Err(err).Int(recorder.FieldCount, len(request.Groups)).Msg(recorder.EventTokensFailed)
	}
}

// acquireFor returns the server of each service for which there is a token. It returns fewer than
// needed if the query gets none.
func (t *tokens) acquireFor(ctx context.Context, limited []selector.LimitedService, needed int) map[identifier.ServiceName]encoder.ServerID {
	group := encoder.TokenGroup{Needed: needed}
	asked := []identifier.ServiceName{}
	for _, l := range limited {
		if len(l.Servers) > 0 {
			group.Choices = append(group.Choices, encoder.TokenChoice{Servers: l.Servers})
			asked = append(asked, l.Service)
		}
	}
	granted := map[identifier.ServiceName]encoder.ServerID{}
	if len(asked) == 0 || len(asked) < needed {
		return granted
	}
	for i, server := range t.acquire(ctx, group) {
		if server != "" {
			granted[asked[i]] = server
		}
	}
	return granted
}
