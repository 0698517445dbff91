package responder

import (
	"fmt"
	"sync"

	"banyandock.example/banyandock/internal/identifier"
)

// maximumRecords limits the number of requests that Executions stores. Requests are stored in two
// generations of at most half of it; when the newer one is full, the older one is dropped.
const maximumRecords = 400_000

// Executions records which subrequests were started on any server of a process. Subrequests with an
// idempotency key must run only once, so their records are never dropped.
type Executions struct {
	mutex    sync.Mutex
	requests map[string]int
	previous map[string]int
	keys     map[string]int
	crashes  map[identifier.Fingerprint]int
	repeated int
}

// NewExecutions returns an empty record.
func NewExecutions() *Executions {
	return &Executions{
		requests: make(map[string]int),
		previous: make(map[string]int),
		keys:     make(map[string]int),
		crashes:  make(map[identifier.Fingerprint]int),
	}
}

// KeyReport summarises executions by idempotency key and crashes by fingerprint.
type KeyReport struct {
	// Keys is the number of started pairs of idempotency key and shard.
	Keys int `json:"keys"`
	// Repeated is the number of starts after the first of such a pair.
	Repeated int `json:"repeated"`
	// Crashes is the number of server crashes for each fingerprint.
	Crashes map[string]int `json:"crashes"`
}

func (e *Executions) record(s *subrequest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.requests) >= maximumRecords/2 {
		e.previous = e.requests
		e.requests = make(map[string]int)
	}
	e.requests[s.key.request]++
	if s.idempotencyKey == "" {
		return
	}
	k := fmt.Sprintf("%s/%s/%d", s.Service, s.idempotencyKey, s.Shard)
	e.keys[k]++
	if e.keys[k] > 1 {
		e.repeated++
	}
}

func (e *Executions) recordCrash(s *subrequest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashes[identifier.NewFingerprint(s.Service, s.Operation, s.Request)]++
}

// Started returns how many subrequests of each of the given requests were started. Requests without
// started subrequests are omitted.
func (e *Executions) Started(requests []string) map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	started := make(map[string]int)
	for _, r := range requests {
		if n := e.requests[r] + e.previous[r]; n > 0 {
			started[r] = n
		}
	}
	return started
}

// Report returns a summary by idempotency key and fingerprint.
func (e *Executions) Report() KeyReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := KeyReport{Keys: len(e.keys), Repeated: e.repeated, Crashes: make(map[string]int)}
	for f, n := range e.crashes {
		r.Crashes[fmt.Sprintf("%016x", uint64(f))] = n
	}
	return r
}
