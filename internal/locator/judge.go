package locator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// evidenceTime is after how long an observation counts for a third. A server that pauses
	// for a moment must not look slow for long, so it covers several pauses' lengths.
	evidenceTime = 800 * time.Millisecond
	// leastEvidence is the number of requests on which a verdict rests.
	leastEvidence = 6
	// slowShare is the share of slow requests that makes a server slow, and clearShare the one
	// below which it is slow no more.
	slowShare  = 0.5
	clearShare = 0.3
	// mostSlow is the share of servers that may be slow. If more seem so, it is the load that
	// makes them late, or the docks, and no server is to be avoided for it.
	mostSlow = 0.6
	// ratioStep rounds ratios, so that small changes are not told.
	ratioStep = 2
	// forgottenEvidence is the weight below which nothing is known of a server.
	forgottenEvidence = 0.5
)

// Judge decides from what all docks see which servers are slow. A dock among many sends each
// server too few requests to find that out alone. It is not safe for concurrent use.
type Judge struct {
	evidence map[encoder.ServerID]*evidence
}

// evidence is what docks lately saw of a server. All numbers fade with time.
type evidence struct {
	at     time.Time
	count  float64
	slow   float64
	ratio  float64
	isSlow bool
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{evidence: map[encoder.ServerID]*evidence{}}
}

// Observe takes in what a dock saw.
func (j *Judge) Observe(now time.Time, observations []encoder.Observation) {
	for _, o := range observations {
		e := j.evidence[o.Server]
		if e == nil {
			e = &evidence{at: now}
			j.evidence[o.Server] = e
		}
		e.fade(now)
		e.count += float64(o.Count)
		e.slow += float64(o.Slow)
		e.ratio += o.Ratio
	}
}

// fade lets earlier evidence count less.
func (e *evidence) fade(now time.Time) {
	weight := math.Exp(-float64(now.Sub(e.at)) / float64(evidenceTime))
	e.at = now
	e.count *= weight
	e.slow *= weight
	e.ratio *= weight
}

// Verdicts returns the slow servers in the order of their IDs.
func (j *Judge) Verdicts(now time.Time) []encoder.SlowServer {
	verdicts := []encoder.SlowServer{}
	for id, e := range j.evidence {
		e.fade(now)
		e.decide()
		if e.count < forgottenEvidence {
			delete(j.evidence, id)
			continue
		}
		if e.isSlow && e.slow > 0 {
			ratio := math.Ceil(e.ratio/e.slow/ratioStep) * ratioStep
			verdicts = append(verdicts, encoder.SlowServer{Server: id, Ratio: ratio})
		}
	}
	if float64(len(verdicts)) > mostSlow*float64(len(j.evidence)) {
		return nil
	}
	slices.SortFunc(verdicts, func(a, b encoder.SlowServer) int { return cmp.Compare(a.Server, b.Server) })
	return verdicts
}

// decide changes the verdict if there is enough evidence. Without news a verdict ends: the
// server is then tried again.
func (e *evidence) decide() {
	share := 0.0
	if e.count > 0 {
		share = e.slow / e.count
	}
	switch {
	case e.count >= leastEvidence && share >= slowShare:
		e.isSlow = true
	case share < clearShare || e.count < forgottenEvidence:
		e.isSlow = false
	}
}
