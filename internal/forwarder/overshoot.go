package forwarder

import (
	"sync"
	"time"
)

const (
	// overshootGain is the weight of a new observation in the EWMA.
	overshootGain = 0.1
	// maxOvershoot bounds each observation and thereby the estimate.
	maxOvershoot = 20 * time.Millisecond
)

// overshoot estimates by an EWMA how long after the planned time answers leave. On a host with a
// small share of a processor, this is some milliseconds. It is safe for concurrent use.
type overshoot struct {
	// Guarded by mutex.
	mutex    sync.Mutex
	estimate time.Duration
}

// observe adds the time by which an answer left after its planned time.
func (o *overshoot) observe(d time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	d = max(0, min(d, maxOvershoot))
	o.estimate += time.Duration(overshootGain * float64(d-o.estimate))
}

// margin returns by how much earlier answers should be planned.
func (o *overshoot) margin() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.estimate
}
