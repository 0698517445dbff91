package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sendInterval is the time between two requests of one requester.
const sendInterval = 50 * time.Millisecond

// request is a request that a requester has sent.
type request struct {
	id   string
	dock int
	sent time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	done   time.Time
	// saysLeaving is set if the answer says that its searcher leaves, and signature is the searcher's.
	saysLeaving bool
	signature   string
}

// requesters send requests to docks over connections that stay open. They do not retry.
type requesters struct {
	d     *deployment
	stop  chan struct{}
	tasks sync.WaitGroup

	mutex    sync.Mutex
	requests map[string]request
}

// startRequesters starts some requesters at each dock that send requests to the route of a service.
func startRequesters(d *deployment, docks []int, perDock int, service string) *requesters {
	r := &requesters{d: d, stop: make(chan struct{}), requests: map[string]request{}}
	for _, dock := range docks {
		for i := range perDock {
			r.tasks.Add(1)
			go r.loop(dock, i, service)
		}
	}
	d.onClose(r.end)
	return r
}

// end stops the requesters and waits for their last answers.
func (r *requesters) end() {
	r.mutex.Lock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mutex.Unlock()
	r.tasks.Wait()
}

// loop sends requests until end.
func (r *requesters) loop(dock, number int, service string) {
	defer r.tasks.Done()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(sendInterval):
		}
		r.send(client, dock, fmt.Sprintf("q%d-%d-%d", dock, number, n), service)
	}
}

// send sends one request and records what came of it.
func (r *requesters) send(client *http.Client, dock int, id, service string) {
	q := request{id: id, dock: dock, sent: time.Now()}
	h, err := http.NewRequest(http.MethodPost, "http://"+r.d.address(dock, portCaller)+"/"+service+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	// Without this function, the client may send the request again on another connection.
	h.GetBody = nil
	h.Host = "a.example"
	h.Header.Set("X-Banyandock-Request-Id", id)
	h.Header.Set("X-Banyandock-Deadline-Ms", "4000")
	response, err := client.Do(h)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	q.done = time.Now()
	if err == nil {
		q.status = response.StatusCode
		q.saysLeaving = response.Header.Get("Server-Leaving") != ""
		q.signature = response.Header.Get("X-Banyandock-Response-Signature")
	}
	r.d.records.trace(q.sent, "request %s sent to dock %d", id, dock)
	r.d.records.trace(q.done, "request %s: status %d, signature %q, leaving %t", id, q.status, q.signature, q.saysLeaving)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[id] = q
}

// get returns a request.
func (r *requesters) get(id string) request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.requests[id]
}

// list returns all requests.
func (r *requesters) list() []request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := []request{}
	for _, q := range r.requests {
		list = append(list, q)
	}
	return list
}
