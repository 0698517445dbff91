package broadcaster

import "banyandock.example/banyandock/internal/encoder"

// addEvacuations adds the evacuated failure domains if the dock has an older list.
func addEvacuations(reply *encoder.WatchReply, s KeeperState, request encoder.WatchRequest) {
	reply.EvacuationVersion = s.EvacuationVersion
	reply.IsBehind = s.IsBehind
	if request.KnowsEvacuations && s.EvacuationVersion > request.EvacuationVersion {
		reply.Evacuated = s.Evacuated
	}
}

// hasUrgentEvacuations reports whether the dock must be told of evacuations at once: it has an older list than
// the leader, or it waits for any list and the keeper is no longer behind. A dock of a release that does not
// know evacuations would be answered again and again.
func hasUrgentEvacuations(reply encoder.WatchReply, request encoder.WatchRequest) bool {
	isNewer := reply.IsLeader && reply.EvacuationVersion > request.EvacuationVersion
	return request.KnowsEvacuations && (isNewer || request.AwaitsEvacuations && !reply.IsBehind)
}

// announceCaughtUp wakes all watches if the keeper is no longer behind, because docks that have just started
// wait for that.
func (b *Broadcaster) announceCaughtUp() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	isBehind := b.keeperState().IsBehind
	if b.wasBehind && !isBehind {
		b.wakeAllWatches()
	}
	b.wasBehind = isBehind
}
