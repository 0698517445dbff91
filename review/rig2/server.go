package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in backend server: it runs slots requests at the same time, queues a few more, and rejects those
// beyond with 503 and X-Banyandock-Not-Executed.
type server struct {
	id       string
	service  string
	address  string
	controls []string
	slots    chan struct{}
	queue    int64
	work     time.Duration
	born     int64

	waiting atomic.Int64
	running atomic.Int64
	runs    atomic.Int64
	// answer writes the body of the response to a request that has run.
	answer func(w http.ResponseWriter, r *http.Request, s *server, n int64)

	http   *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// startServer starts a server at a free port of an address.
func startServer(id, service, ip string, controls []string, slots, queue int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, address: l.Addr().String(), controls: controls, slots: make(chan struct{}, slots),
		queue: int64(queue), work: work, born: time.Now().UnixMilli(), answer: answerRecords,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	s.tasks.Add(2)
	go func() { defer s.tasks.Done(); _ = s.http.Serve(l) }()
	go s.beat()
	return s, nil
}

// beat sends heartbeats, to the next keeper after a failure.
func (s *server) beat() {
	defer s.tasks.Done()
	client := &http.Client{Timeout: time.Second}
	keeper := 0
	for sequence := 1; s.ctx.Err() == nil; sequence++ {
		text, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": zone, "version": "v1", "slots": cap(s.slots), "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
		})
		r, _ := http.NewRequestWithContext(s.ctx, http.MethodPut, "http://"+s.controls[keeper%len(s.controls)]+"/api/instances/"+s.id, bytes.NewReader(text))
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		isAccepted := err == nil && response.StatusCode/100 == 2
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if !isAccepted {
			keeper++
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// countRuns returns the number of requests that servers have run.
func countRuns(servers []*server) int64 {
	n := int64(0)
	for _, s := range servers {
		n += s.runs.Load()
	}
	return n
}

// stop ends the server.
func (s *server) stop() {
	s.cancel()
	_ = s.http.Close()
	s.tasks.Wait()
}

// ServeHTTP runs or rejects a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get("X-Banyandock-Request-Id")
	header.Set("X-Banyandock-Request-Id", id)
	header.Set("X-Banyandock-Instance-Id", s.id)
	header.Set("X-Banyandock-Instance-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), cap(s.slots)))
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get("X-Banyandock-Target-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > s.queue+int64(cap(s.slots)) {
		s.waiting.Add(-1)
		header.Set("X-Banyandock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	s.running.Add(1)
	defer s.running.Add(-1)
	n := s.runs.Add(1)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	header.Set("X-Banyandock-Response-Signature", fmt.Sprintf("%s.%d.%s", s.id, n, id))
	s.answer(w, r, s, n)
}

// answerRecords responds with a few records of 16 bytes.
func answerRecords(w http.ResponseWriter, _ *http.Request, s *server, n int64) {
	_, _ = fmt.Fprintf(w, "%016d%016d", (n*7919+s.born)%1_000_003, n*104_729%1_000_003)
}
