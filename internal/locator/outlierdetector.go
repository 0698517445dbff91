package locator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// evidenceDecayTime is the time constant with which observations decay: their weight is 1/e,
	// about a third, after it. It covers several short pauses, so that a server that pauses briefly
	// is not marked as slow for long.
	evidenceDecayTime = 800 * time.Millisecond
	// minEvidence is the number of requests, after decay, that is required to mark a server as
	// slow.
	minEvidence = 6
	// slowShare is the share of slow requests from which a server is marked as slow. clearShare is
	// the share below which it no longer is.
	slowShare  = 0.5
	clearShare = 0.3
	// maxSlowShare is the maximum share of servers that may be marked as slow. If more appear slow,
	// the cause is the load or the docks, and avoiding servers would not help.
	maxSlowShare = 0.6
	// ratioStep is the step to which ratios are rounded up, so that small changes are not
	// published.
	ratioStep = 2
	// negligibleEvidence is the number of requests, after decay, below which a server's evidence is
	// dropped.
	negligibleEvidence = 0.5
)

// OutlierDetector finds slow servers from the observations of all docks. A single one of many docks
// sends too few requests to a server to detect that it is slow. It is not safe for concurrent use.
type OutlierDetector struct {
	evidence map[encoder.ServerID]*evidence
}

// evidence is what docks observed of a server recently. Count, slow and ratio are sums that decay
// with time.
type evidence struct {
	at     time.Time
	count  float64
	slow   float64
	ratio  float64
	isSlow bool
}

// NewOutlierDetector returns an OutlierDetector without observations.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{evidence: map[encoder.ServerID]*evidence{}}
}

// Observe adds the observations of a dock.
func (d *OutlierDetector) Observe(now time.Time, observations []encoder.Observation) {
	for _, o := range observations {
		e := d.evidence[o.Server]
		if e == nil {
			e = &evidence{at: now}
			d.evidence[o.Server] = e
		}
		e.decay(now)
		e.count += float64(o.Count)
		e.slow += float64(o.Slow)
		e.ratio += o.Ratio
	}
}

// decay decays the evidence to now.
func (e *evidence) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(e.at)) / float64(evidenceDecayTime))
	e.at = now
	e.count *= weight
	e.slow *= weight
	e.ratio *= weight
}

// SlowServers returns the slow servers, ordered by ID. It returns nil if more than maxSlowShare of
// the servers appear slow.
func (d *OutlierDetector) SlowServers(now time.Time) []encoder.SlowServer {
	slowServers := []encoder.SlowServer{}
	for id, e := range d.evidence {
		e.decay(now)
		e.updateIsSlow()
		if e.count < negligibleEvidence {
			delete(d.evidence, id)
			continue
		}
		if e.isSlow && e.slow > 0 {
			ratio := math.Ceil(e.ratio/e.slow/ratioStep) * ratioStep
			slowServers = append(slowServers, encoder.SlowServer{Server: id, Ratio: ratio})
		}
	}
	if float64(len(slowServers)) > maxSlowShare*float64(len(d.evidence)) {
		return nil
	}
	slices.SortFunc(slowServers, func(a, b encoder.SlowServer) int { return cmp.Compare(a.Server, b.Server) })
	return slowServers
}

// updateIsSlow marks the server as slow or clears the mark if there is enough evidence. Without
// new observations the mark is cleared, so that the server is tried again.
func (e *evidence) updateIsSlow() {
	share := 0.0
	if e.count > 0 {
		share = e.slow / e.count
	}
	switch {
	case e.count >= minEvidence && share >= slowShare:
		e.isSlow = true
	case share < clearShare || e.count < negligibleEvidence:
		e.isSlow = false
	}
}
