package watcher

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
)

// keeper is the watch of one keeper.
type keeper struct {
	// Set at creation.
	watcher *Watcher
	address netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc

	// Owned by run. These identify the process that sent the last reply, and the last change of its
	// directory that was seen.
	incarnation identifier.Incarnation
	lastChange  uint64

	// Guarded by the watcher's mutex.
	lastReply time.Time
	isVoter   bool
	isMember  bool
	docks     int
	domains   int
	// quarantinesDigest identifies the keeper's list of quarantines in its last reply.
	quarantinesDigest uint64
	// reportedVersion is the version of the crash report that the process reportedTo of the keeper
	// acknowledged last. isReporting is set while a report is being sent.
	reportedVersion uint64
	reportedTo      identifier.Incarnation
	isReporting     bool
	// takesShort is set if the keeper's process takes a ShortWatchRequest.
	takesShort bool
	// isBehind is set if the keeper's last reply was behind what is committed.
	isBehind bool
}

// run watches the keeper until it is no longer a member.
func (k *keeper) run() {
	w := k.watcher
	defer w.tasks.Done()
	for k.ctx.Err() == nil {
		request := k.newRequest()
		reply, err := k.call(request)
		if err != nil {
			k.handleFailure(err)
			k.waitToRetry()
			continue
		}
		w.handleReply(k, request, reply)
		w.fetch(k, reply.Configuration)
	}
}

// newRequest returns a watch request with what the dock knows now.
func (k *keeper) newRequest() encoder.WatchRequest {
	w := k.watcher
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return encoder.WatchRequest{
		Keeper:         k.incarnation,
		Seen:           k.lastChange,
		Configuration:  w.configuration,
		MembersDigest:  w.membersDigest,
		VerdictsDigest: w.slowServersDigest,
		Dock:           w.self,
		FellowsDigest:  w.domainDocksDigest,

		QuarantinesDigest: k.quarantinesDigest,
		LimitsDigest:      w.limitsDigest,
		IsDetached:        w.isDetached,
		DetachVersion:     w.detachVersion,

		KnowsEvacuations:  true,
		EvacuationVersion: w.evacuations.version,
		AwaitsEvacuations: !w.evacuations.isKnown && k.isBehind,

		Wait: watchWait,
	}
}

// call performs one watch.
func (k *keeper) call(request encoder.WatchRequest) (encoder.WatchReply, error) {
	w := k.watcher
	ctx, cancel := context.WithTimeout(k.ctx, watchTimeout)
	defer cancel()
	w.mutex.Lock()
	takesShort := k.takesShort
	w.mutex.Unlock()
	if takesShort {
		reply, err := linker.Call[encoder.ShortWatchRequest, encoder.ShortWatchReply](ctx, w.pool.Link(k.address), encoder.KindShortWatch, encoder.ShortWatchRequest(request))
		return encoder.WatchReply(reply), err
	}
	return linker.Call[encoder.WatchRequest, encoder.WatchReply](ctx, w.pool.Link(k.address), encoder.KindWatch, request)
}

// handleFailure records that the keeper did not answer.
func (k *keeper) handleFailure(err error) {
	w := k.watcher
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	if !k.lastReply.IsZero() {
		w.log.Warn().Err(err).Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventKeeperLost)
	}
	k.lastReply = time.Time{}
	k.quarantinesDigest = 0
	// The next process at the address may be of an older release.
	k.takesShort = false
	w.catalog.Disconnect(w.clock.Now(), k.address)
}

// waitToRetry waits for retryDelay or until the watch ends.
func (k *keeper) waitToRetry() {
	timer := k.watcher.clock.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-k.ctx.Done():
	case <-timer.C:
	}
}

// fetch gets and applies the keeper's configuration if its number is higher than the one in force.
func (w *Watcher) fetch(k *keeper, number uint64) {
	w.fetchMutex.Lock()
	defer w.fetchMutex.Unlock()
	w.mutex.Lock()
	before := w.configuration
	w.mutex.Unlock()
	if number <= before {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, fetchTimeout)
	defer cancel()
	text, err := linker.Call[encoder.FetchRequest, encoder.ManifestText](ctx, w.pool.Link(k.address), encoder.KindFetch, encoder.FetchRequest{})
	if err != nil {
		w.log.Warn().Err(err).Stringer(recorder.FieldKeeper, k.address).Uint64(recorder.FieldConfiguration, number).Msg(recorder.EventConfigurationFailed)
		return
	}
	table, err := w.compile(text.Text)
	if err != nil {
		w.log.Error().Err(err).Uint64(recorder.FieldConfiguration, text.Number).Msg(recorder.EventConfigurationFailed)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if text.Number <= w.configuration {
		return
	}
	w.configuration = text.Number
	w.sink.Configure(table)
	w.log.Info().Uint64(recorder.FieldConfiguration, text.Number).Uint64(recorder.FieldBefore, before).
		Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventConfiguration)
}
