package watcher

import "time"

// peakTime is how long a count that has fallen still counts. A keeper that has restarted counts only the
// docks that have found it, and docks that believed that they are few would open too many connections to
// the backend servers.
const peakTime = 15 * time.Second

// peak is the greatest of the counts in the last peakTime. Its zero value has observed none.
type peak struct {
	value int
	at    time.Time
}

// observe records a count and returns the peak.
func (p *peak) observe(now time.Time, count int) int {
	if count >= p.value || now.Sub(p.at) >= peakTime {
		p.value, p.at = count, now
	}
	return p.value
}
