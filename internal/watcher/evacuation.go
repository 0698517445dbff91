package watcher

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// evacuationWait is how long after the first reply a dock that does not hear from a majority of voters that
	// are not behind waits until it goes by any keeper that is not.
	evacuationWait = 5 * time.Second
	// behindWait is the same until it goes by keepers that are behind, because no group may form for long.
	behindWait = 10 * time.Second
)

// evacuations is what the dock knows of the evacuated failure domains. The list itself is in the sink.
type evacuations struct {
	// firstReply is when the first keeper replied.
	firstReply time.Time
	// isKnown is set once the list is known. Until then the dock has no servers, so that it sends nothing to
	// those of an evacuated failure domain.
	isKnown bool
	// version is that of the list. The dock never goes back to an earlier one.
	version uint64
}

// mergeEvacuations takes over a keeper's list of evacuated failure domains if it is newer. The caller holds
// the lock.
func (w *Watcher) mergeEvacuations(k *keeper, reply encoder.WatchReply) {
	k.isBehind = reply.IsBehind
	if w.evacuations.firstReply.IsZero() {
		w.evacuations.firstReply = w.clock.Now()
	}
	if reply.EvacuationVersion > w.evacuations.version {
		w.evacuations.version = reply.EvacuationVersion
		w.sink.SetEvacuated(reply.Evacuated, reply.EvacuationVersion)
	}
	w.settleEvacuations()
}

// settleEvacuations finds out whether the list of evacuated failure domains is known: a majority of the voters
// has replied that is not behind, one of which has every evacuation that was acknowledged before. A dock that
// cannot reach a majority for evacuationWait goes by any keeper that is not behind. The caller holds the lock.
func (w *Watcher) settleEvacuations() {
	if w.evacuations.isKnown {
		return
	}
	now := w.clock.Now()
	current, currentVoters := 0, 0
	for _, k := range w.keepers {
		if k.lastReply.IsZero() || k.isBehind || now.Sub(k.lastReply) >= freshness {
			continue
		}
		current++
		if k.isVoter {
			currentVoters++
		}
	}
	waited := now.Sub(w.evacuations.firstReply)
	hasMajority := w.voters > 0 && 2*currentVoters > w.voters
	if hasMajority || current > 0 && waited >= evacuationWait || waited >= behindWait {
		w.evacuations.isKnown = true
		w.schedulePublish()
	}
}

// KnowsEvacuations reports whether it is known which failure domains are evacuated.
func (w *Watcher) KnowsEvacuations() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.evacuations.isKnown
}
