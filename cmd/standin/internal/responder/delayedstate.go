package responder

import (
	"sync"
	"time"
)

// delayedState holds the state that lagging reports show.
type delayedState struct {
	mutex sync.Mutex
	shown reportedState
}

// refresh replaces the shown state with the current one if the shown state is older than the lag,
// and returns the shown state.
func (d *delayedState) refresh(current reportedState, lag time.Duration) reportedState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.shown.takenAt.IsZero() || current.takenAt.Sub(d.shown.takenAt) > lag {
		d.shown = current
	}
	return d.shown
}
