package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workTime is how long a searcher runs a request.
	workTime = 200 * time.Millisecond
	// maxExitWait is how long an exit waits for a request at work.
	maxExitWait = 300 * time.Millisecond
	// beatTimeout is the time within which a heartbeat must be acknowledged.
	beatTimeout = time.Second
)

// arrival is a request that has reached a searcher.
type arrival struct {
	id       string
	searcher string
	at       time.Time
	// answered is when the answer was written, or zero if the searcher ended before.
	answered time.Time
}

// searcher simulates a searcher of the platform.
type searcher struct {
	d       *deployment
	id      string
	service string
	host    int
	born    int64
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// isLeaving is set while the searcher says in its answers that it leaves.
	isLeaving atomic.Bool
	// isSilent ends the regular heartbeats.
	isSilent atomic.Bool
	// running counts the requests at work.
	running atomic.Int64
	serial  atomic.Int64

	mutex    sync.Mutex
	sequence int
	// endpoint is the host and port of the next heartbeat, and keeper the index of the next node if a
	// heartbeat fails.
	endpoint string
	keeper   int
	arrivals []*arrival
}

// startSearcher starts a searcher on a host.
func startSearcher(d *deployment, service string, host int) (*searcher, error) {
	l, err := net.Listen("tcp", d.address(host, portSearcher))
	if err != nil {
		return nil, err
	}
	s := &searcher{
		d: d, id: fmt.Sprintf("i-%s-%d", service, host), service: service, host: host, born: time.Now().UnixMilli(),
		keeper: host % keeperCount, endpoint: d.address(1+host%keeperCount, portControl),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &http.Server{Handler: s}
	s.tasks.Add(2)
	go s.serve(l)
	go s.beatLoop()
	d.onClose(s.end)
	return s, nil
}

// serve serves requests until the searcher ends.
func (s *searcher) serve(l net.Listener) {
	defer s.tasks.Done()
	// Serve always returns http.ErrServerClosed here.
	_ = s.server.Serve(l)
}

// end ends the searcher: it closes its address and all connections.
func (s *searcher) end() {
	s.cancel()
	_ = s.server.Close()
	s.tasks.Wait()
}

// exitAtWork ends the searcher, if it gets requests at all, while it is at work on one.
func (s *searcher) exitAtWork() {
	for end := time.Now().Add(maxExitWait); s.running.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.d.records.add("%s exits with %d requests at work", s.id, s.running.Load())
	s.end()
}

// beatLoop sends regular heartbeats.
func (s *searcher) beatLoop() {
	defer s.tasks.Done()
	for s.ctx.Err() == nil {
		if !s.isSilent.Load() {
			s.beat("ready", 0)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends a heartbeat that arrives late by a delay. It reports whether an acknowledgement came within
// beatTimeout.
func (s *searcher) beat(state string, delay time.Duration) bool {
	sentAt := time.Now()
	s.mutex.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.d.address(s.host, portSearcher), "zone": zoneOf(s.host), "version": "v1", "slots": 3,
		"state": state, "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
	to := s.endpoint
	s.mutex.Unlock()
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(delay):
	}
	status, reply := s.d.call(http.MethodPut, "http://"+to+"/api/instances/"+s.id, string(body))
	isAcknowledged := status == http.StatusOK && time.Since(sentAt) < beatTimeout
	s.d.records.trace(time.Now(), "%s: heartbeat %q at %s, %s late: status %d, acknowledged in time: %t", s.id, state, to, delay, status, isAcknowledged)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !isAcknowledged {
		s.keeper = (s.keeper + 1) % keeperCount
		s.endpoint = s.d.address(1+s.keeper, portControl)
		return false
	}
	var hint struct{ HeartbeatEndpoint string }
	if json.Unmarshal([]byte(reply), &hint) == nil && hint.HeartbeatEndpoint != "" {
		s.endpoint = hint.HeartbeatEndpoint
	}
	return true
}

// ServeHTTP runs a request, or rejects it if it is addressed to another searcher.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A request whose body cannot be read is run all the same; its body is not needed.
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Banyandock-Request-Id")
	header := w.Header()
	header.Set("X-Banyandock-Request-Id", id)
	if s.isLeaving.Load() {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		header.Set("X-Banyandock-Instance-Id", s.id)
		return
	}
	if r.Header.Get("X-Banyandock-Target-Instance") != s.id {
		header.Set("X-Banyandock-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := s.record(id)
	header.Set("X-Banyandock-Instance-Load", fmt.Sprintf("%d,0,3", s.running.Add(1)))
	defer s.running.Add(-1)
	select {
	case <-s.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-time.After(workTime):
	}
	body := fmt.Sprintf("answer %d of %s to %s", s.serial.Add(1), s.id, id)
	header.Set("X-Banyandock-Response-Signature", fmt.Sprintf("%s.%d", s.id, s.serial.Load()))
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.answered = time.Now()
}

// record records the arrival of a request that begins to run.
func (s *searcher) record(id string) *arrival {
	a := &arrival{id: id, searcher: s.id, at: time.Now()}
	s.d.records.trace(a.at, "%s: request %s arrives and runs", s.id, id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, a)
	return a
}

// list returns the arrivals so far.
func (s *searcher) list() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []arrival{}
	for _, a := range s.arrivals {
		list = append(list, *a)
	}
	return list
}

// otherKeeper returns the host of a keeper that did not get the searcher's last heartbeats.
func (s *searcher) otherKeeper() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for host := 1; host <= keeperCount; host++ {
		if !strings.HasPrefix(s.endpoint, s.d.address(host, portControl)) {
			return host
		}
	}
	return 1
}
