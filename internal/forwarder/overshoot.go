package forwarder

import (
	"sync"
	"time"
)

const (
	// overshootGain is the weight of a new observation.
	overshootGain = 0.1
	// mostOvershoot bounds the correction, and a single observation of it.
	maxOvershoot = 20 * time.Millisecond
)

// overshoot estimates how long after the planned moment answers leave. On a host with a small
// share of a processor that is some milliseconds. It is safe for concurrent use.
type overshoot struct {
	// Guarded by mutex.
	mutex    sync.Mutex
	estimate time.Duration
}

// observe takes in by how much an answer left after the moment that was planned for it.
func (o *overshoot) observe(d time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	d = max(0, min(d, maxOvershoot))
	o.estimate += time.Duration(overshootGain * float64(d-o.estimate))
}

// margin returns by how much earlier to plan.
func (o *overshoot) margin() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.estimate
}
