// Package accuser finds out which requests may have ended a backend server. It holds the runs of
// requests at servers that have not answered them, whoever gave the requests up, and joins them with
// the ends of servers, however these become known. It performs no I/O.
package accuser

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// keepTime is how long a run is kept after this dock stopped to wait for its answer. By then the
	// keepers have missed the heartbeats of a server that ended.
	keepTime = 15 * time.Second
	// aftermath is how long a run may still end its server after this dock stopped to wait.
	aftermath = time.Second
	// maxRuns bounds the runs that this dock no longer waits for.
	maxRuns = 4096
	// dropDivisor is the share of maxRuns that is dropped together, so that dropping is rare.
	dropDivisor = 8
	// checkDelay is how long after that a server may stay without a sign of life before it is worth a
	// check, and checksPerRequest the number of servers that are checked because of one request.
	checkDelay       = 400 * time.Millisecond
	checksPerRequest = 3
)

// Run is a request that was sent to a server.
type Run struct {
	// Set by the caller of Begin.
	locator.Start
	Service identifier.ServiceName
	// Request is the caller's identifier of the request. Fingerprints are what it has in common with
	// equal ones.
	Request      string
	Fingerprints []identifier.Fingerprint
	// IsRepeat is set if the request was sent after an equal one was known to have ended a server.
	IsRepeat bool
	// IsAnswered is set once another server of the service has answered the request, so that it ends
	// none of them, and IsAnsweredElsewhere once a server of any service has.
	IsAnswered          *atomic.Bool
	IsAnsweredElsewhere *atomic.Bool

	// Guarded by the Accuser's mutex. SentAt is when it was sent, and LeftAt when this dock stopped to
	// wait for the answer, or zero before.
	SentAt time.Time
	LeftAt time.Time
	// isOver is set when the run is no longer kept, and isChecked when its server was checked because
	// of it.
	isOver    bool
	isChecked bool
}

// Accuser holds the runs without an answer. It is safe for concurrent use.
type Accuser struct {
	// Guarded by mutex.
	mutex sync.Mutex
	runs  map[locator.Start][]*Run
	// left are the runs that this dock no longer waits for, in the order of LeftAt. Some may be over.
	left []*Run
	// dropped counts the runs that were dropped because there were more than maxRuns.
	dropped int
}

// New returns an Accuser without runs.
func New() *Accuser { return &Accuser{runs: map[locator.Start][]*Run{}} }

// Begin records that a request is being written to a server. One that waits for a connection cannot have
// ended the server.
func (a *Accuser) Begin(now time.Time, r Run) *Run {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r.SentAt = now
	a.runs[r.Start] = append(a.runs[r.Start], &r)
	return &r
}

// NotRun records that a request cannot have run on the server.
func (a *Accuser) NotRun(r *Run) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.remove(r)
}

// Answered records that a server replied to a request, so that the request did not end it. Requests
// that this dock gave up longer than the aftermath ago did not either.
func (a *Accuser) Answered(now time.Time, r *Run) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeWhere(r.Start, func(other *Run) bool {
		return other == r || !other.LeftAt.IsZero() && now.Sub(other.LeftAt) > aftermath
	})
}

// Left records that this dock no longer waits for the answer to a request that was sent. It returns
// false if the end of the server is known already.
func (a *Accuser) Left(now time.Time, r *Run) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r.isOver {
		return false
	}
	r.LeftAt = now
	a.left = append(a.left, r)
	a.removeExpired(now)
	return true
}

// Ended returns the runs that may have ended a server, which are no longer kept.
func (a *Accuser) Ended(end locator.End) []Run {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	accused := []Run{}
	for _, r := range a.runs[end.Start] {
		isBefore := !r.SentAt.After(end.Latest)
		isAfter := r.LeftAt.IsZero() || !r.LeftAt.Add(aftermath).Before(end.Earliest)
		if isBefore && isAfter {
			accused = append(accused, *r)
		}
	}
	a.removeWhere(end.Start, func(*Run) bool { return true })
	return accused
}

// HasRuns reports whether a start of a server has runs without an answer.
func (a *Accuser) HasRuns(s locator.Start) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.runs[s]) > 0
}

// TakeChecks returns runs at servers that have given no sign of life since this dock gave the request
// up, at most one for each start of a server. A few servers of each request suffice to find out that it
// ends servers.
func (a *Accuser) TakeChecks(now time.Time, limit int) []Run {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeExpired(now)
	perRequest := map[string]int{}
	isListed := map[locator.Start]bool{}
	list := []Run{}
	// All docks check servers of the same services, so that their findings add up.
	byService := slices.Clone(a.left)
	slices.SortStableFunc(byService, func(x, y *Run) int { return cmp.Compare(x.Service, y.Service) })
	for _, r := range byService {
		if r.isOver || now.Sub(r.LeftAt) < checkDelay || perRequest[r.Request] >= checksPerRequest {
			continue
		}
		perRequest[r.Request]++
		if r.isChecked || isListed[r.Start] || len(list) >= limit {
			continue
		}
		r.isChecked = true
		isListed[r.Start] = true
		list = append(list, *r)
	}
	return list
}

// Stats are figures for metrics.
type Stats struct {
	// Left is the number of runs that this dock no longer waits for, and Dropped counts those that were
	// dropped because there were too many.
	Left    int
	Dropped int
}

// Stats returns the current figures.
func (a *Accuser) Stats() Stats {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return Stats{Left: len(a.left), Dropped: a.dropped}
}

// removeExpired removes the runs that were left too long ago, and the oldest ones if there are more
// than maxRuns. The caller holds the lock.
func (a *Accuser) removeExpired(now time.Time) {
	for len(a.left) > 0 && (a.left[0].isOver || now.Sub(a.left[0].LeftAt) > keepTime) {
		a.remove(a.left[0])
		a.left = a.left[1:]
	}
	if len(a.left) <= maxRuns {
		return
	}
	a.left = slices.DeleteFunc(a.left, func(r *Run) bool { return r.isOver })
	for len(a.left) > maxRuns-maxRuns/dropDivisor {
		a.dropped++
		a.remove(a.left[0])
		a.left = a.left[1:]
	}
}

// remove removes a run. The caller holds the lock.
func (a *Accuser) remove(r *Run) {
	a.removeWhere(r.Start, func(other *Run) bool { return other == r })
}

// removeWhere removes the runs of a start of a server for which a function returns true. The caller
// holds the lock.
func (a *Accuser) removeWhere(s locator.Start, isRemoved func(*Run) bool) {
	rest := slices.DeleteFunc(a.runs[s], func(r *Run) bool {
		r.isOver = r.isOver || isRemoved(r)
		return r.isOver
	})
	if len(rest) == 0 {
		delete(a.runs, s)
		return
	}
	a.runs[s] = rest
}
