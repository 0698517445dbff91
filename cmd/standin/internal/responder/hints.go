package responder

import (
	"encoding/json"
	"net/http"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// reportedState is the state that a server's health and load reports show.
type reportedState struct {
	takenAt time.Time
	state   encoder.ServerState
	running int
	waiting int
}

type healthReport struct {
	State encoder.ServerState `json:"state"`
}

type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

type cancelRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

func (i *incarnation) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthReport{State: i.reported().state})
}

func (i *incarnation) handleLoad(w http.ResponseWriter, _ *http.Request) {
	h := i.reported()
	writeJSON(w, http.StatusOK, loadReport{Running: h.running, Waiting: h.waiting})
}

// reported returns the current, a past or a false state, as the server's hint mode requires.
func (i *incarnation) reported() reportedState {
	switch i.server.Faults().Hints {
	case HintTruthful:
		return i.currentState()
	case HintLying:
		return reportedState{state: encoder.ServerReady}
	case HintLagging:
		return i.server.delayed.refresh(i.currentState(), i.server.settings.HintLag)
	}
	return i.currentState()
}

func (i *incarnation) currentState() reportedState {
	running, waiting := i.slots.occupancy()
	i.server.mutex.Lock()
	defer i.server.mutex.Unlock()
	return reportedState{
		takenAt: i.server.clock.Now(),
		state:   i.server.stateLocked(),
		running: running,
		waiting: waiting,
	}
}

func (i *incarnation) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c cancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBody)).Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Code: "malformed"})
		return
	}
	i.mutex.Lock()
	cancel := i.running[attemptKey{request: c.Request, attempt: c.Attempt}]
	i.mutex.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
