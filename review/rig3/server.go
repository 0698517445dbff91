package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerRequest  = "X-Banyandock-Request-Id"
	headerDeadline = "X-Banyandock-Deadline-Ms"
	headerStamp    = "X-Banyandock-Response-Signature"
	headerTarget   = "X-Banyandock-Target-Instance"
	headerLoad     = "X-Banyandock-Instance-Load"
	headerNotRun   = "X-Banyandock-Not-Executed"
	headerStamps   = "X-Banyandock-Shard-Stamps"
)

// slots is the number of requests that a server says that it runs at once.
const slots = 3

// answer writes the response to a request that the server runs. It returns false to close the connection.
type answer func(c net.Conn, r *http.Request, body []byte, run int64) bool

// server is a stand-in backend server.
type server struct {
	id       string
	service  string
	zone     string
	address  string
	controls []string
	answer   answer
	record   *record

	listener net.Listener
	stop     chan struct{}
	tasks    sync.WaitGroup
	born     int64
	runs     atomic.Int64
	running  atomic.Int64
	state    atomic.Value

	mutex       sync.Mutex
	connections map[net.Conn]bool
}

// newServer starts a server and its heartbeats.
func newServer(id, service, zone, ip string, controls []string, r *record, a answer) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), controls: controls, answer: a, record: r,
		listener: l, stop: make(chan struct{}), born: time.Now().UnixMilli(), connections: map[net.Conn]bool{},
	}
	s.state.Store("ready")
	s.tasks.Add(2)
	go s.accept()
	go s.announce()
	return s, nil
}

// close ends the server as a crash would.
func (s *server) close() {
	close(s.stop)
	_ = s.listener.Close()
	s.mutex.Lock()
	for c := range s.connections {
		_ = c.Close()
	}
	s.mutex.Unlock()
	s.tasks.Wait()
}

// accept serves connections until the server is closed.
func (s *server) accept() {
	defer s.tasks.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[c] = true
		s.mutex.Unlock()
		s.tasks.Add(1)
		go s.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer s.tasks.Done()
	defer func() {
		s.mutex.Lock()
		delete(s.connections, c)
		s.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// handle runs one request, or rejects it if it is addressed to another server.
func (s *server) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(headerRequest)
	if target := r.Header.Get(headerTarget); target != "" && target != s.id {
		s.record.add("server %s rejects %s with 421", s.id, id)
		return reply(c, http.StatusMisdirectedRequest, []string{headerRequest, id}, nil)
	}
	n := s.runs.Add(1)
	s.running.Add(1)
	defer s.running.Add(-1)
	return s.answer(c, r, body, n)
}

// load returns the value of the header with the server's load.
func (s *server) load() string { return fmt.Sprintf("%d,0,%d", min(slots, s.running.Load()), slots) }

// reply writes a complete response with pairs of header names and values.
func reply(c net.Conn, status int, headers []string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// announce sends heartbeats. After a failure the next one goes to another keeper.
func (s *server) announce() {
	defer s.tasks.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	keeper := int(s.born) % len(s.controls)
	for sequence := 1; ; sequence++ {
		text, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots,
			"state": s.state.Load(), "coldRemainingMs": 0, "sequence": sequence, "born": s.born,
		})
		wait := heartbeatInterval
		if !put(client, s.controls[keeper], s.id, text) {
			keeper = (keeper + 1) % len(s.controls)
			wait = 100 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// put sends one heartbeat and reports whether it was acknowledged.
func put(client *http.Client, control, id string, text []byte) bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/api/instances/"+id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
