package routekeeperrunner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/packer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/replicator"
)

const (
	// operatorCallTimeout bounds an operator's call, because its client gives up after 1 s.
	operatorCallTimeout = 900 * time.Millisecond
	// departureTimeout bounds how long the response to a departure waits for other keepers.
	departureTimeout = 250 * time.Millisecond
	// departureCallTimeout bounds how long a departure takes to another keeper. A keeper that is late
	// must still get it, because it may be the one that the server sends its heartbeats to.
	departureCallTimeout = 900 * time.Millisecond
)

// Submit commits a configuration's text unless one with a higher number is committed. Its outcome
// is SubmitAccepted, SubmitInvalid, or SubmitUnknown if the text may or may not be committed.
func (k *Keeper) Submit(ctx context.Context, number uint64, text []byte) encoder.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	packed, err := packer.Pack(text)
	if err != nil {
		return encoder.SubmitReply{Outcome: encoder.SubmitUnknown, Detail: err.Error()}
	}
	sum := sha256.Sum256(packed)
	request := encoder.SubmitRequest{Manifest: encoder.ManifestText{Number: number, Digest: hex.EncodeToString(sum[:]), Text: packed}}
	c := leaderCaller[encoder.SubmitReply]{clock: k.process.Clock, leader: k.leader, call: func(ctx context.Context, leader netip.AddrPort) (encoder.SubmitReply, bool) {
		return k.submitAt(ctx, leader, request)
	}}
	reply, ok := c.callUntilAnswered(ctx)
	if !ok {
		reply = encoder.SubmitReply{Outcome: encoder.SubmitUnknown, Detail: "no leader answered in time"}
	}
	k.process.Log.Info().Uint64(recorder.FieldConfiguration, number).Stringer(recorder.FieldOutcome, reply.Outcome).
		Uint64(recorder.FieldBefore, reply.StandingNumber).Str(recorder.FieldDetail, reply.Detail).Msg(recorder.EventSubmitted)
	return reply
}

// submitAt submits to the local governor if this keeper is the leader, and otherwise to the leader
// over a link. It returns false if the submission must be retried, which is safe because
// submissions are idempotent.
func (k *Keeper) submitAt(ctx context.Context, leader netip.AddrPort, request encoder.SubmitRequest) (encoder.SubmitReply, bool) {
	if leader == k.settings.LinkAddress {
		// The reply's outcome includes the governor's error.
		reply, _ := k.governor.Submit(ctx, request)
		return reply, isFinal(reply)
	}
	reply, err := linker.Call[encoder.SubmitRequest, encoder.SubmitReply](ctx, k.pool.Link(leader), encoder.KindSubmit, request)
	return reply, err == nil && isFinal(reply)
}

// isFinal reports whether a retry of the submission cannot change the outcome.
func isFinal(reply encoder.SubmitReply) bool {
	return reply.Outcome == encoder.SubmitAccepted || reply.Outcome == encoder.SubmitInvalid
}

// leader returns the link address of the leader, which may be this keeper. The address is invalid
// if no leader is known.
func (k *Keeper) leader() netip.AddrPort {
	s := k.replicator.Status()
	if s.IsLeader {
		return k.settings.LinkAddress
	}
	return s.Leader.Address
}

// NewestConfiguration returns the text of the newest committed configuration, confirmed by a
// quorum. It returns false if there is none or no quorum confirms it in time.
func (k *Keeper) NewestConfiguration(ctx context.Context) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	c := leaderCaller[encoder.ManifestText]{clock: k.process.Clock, leader: k.leader, call: k.confirmAt}
	newest, ok := c.callUntilAnswered(ctx)
	if !ok {
		return nil, false
	}
	return k.unpack(newest)
}

// unpack decompresses the text of a committed configuration. It returns false if there is none or
// it cannot be decompressed.
func (k *Keeper) unpack(m encoder.ManifestText) ([]byte, bool) {
	if m.Number == 0 {
		return nil, false
	}
	text, err := packer.Unpack(m.Text)
	if err != nil {
		k.process.Log.Error().Err(err).Uint64(recorder.FieldConfiguration, m.Number).Msg(recorder.EventConfigurationFailed)
		return nil, false
	}
	return text, true
}

// confirmAt fetches the newest configuration from the leader. It returns false if the leader does
// not respond or a quorum does not confirm its leadership.
func (k *Keeper) confirmAt(ctx context.Context, leader netip.AddrPort) (encoder.ManifestText, bool) {
	if leader == k.settings.LinkAddress {
		reply := k.confirm(ctx)
		return reply.Manifest, reply.IsConfirmed
	}
	reply, err := linker.Call[encoder.ConfirmRequest, encoder.ConfirmReply](ctx, k.pool.Link(leader), encoder.KindConfirm, encoder.ConfirmRequest{})
	return reply.Manifest, err == nil && reply.IsConfirmed
}

// confirm returns the newest configuration if a quorum confirms that this keeper is the leader.
func (k *Keeper) confirm(ctx context.Context) encoder.ConfirmReply {
	if k.replicator.Barrier(ctx) != nil {
		return encoder.ConfirmReply{}
	}
	return encoder.ConfirmReply{IsConfirmed: true, Manifest: k.state.Manifest()}
}

// RecordHeartbeat applies a backend server's heartbeat to the directory. If the server departs,
// RecordHeartbeat returns when a majority of the keepers has acknowledged that, or after
// departureTimeout. It returns false and does nothing if the server must call another keeper, because this
// one is outside of the group.
func (k *Keeper) RecordHeartbeat(ctx context.Context, r encoder.Registration) bool {
	if !k.admission.admits(k.Now(), k.isMember(), r.State != encoder.PresenceReady) {
		return false
	}
	k.propagateDepartures(ctx, k.broadcaster.RecordHeartbeat(r))
	return true
}

// Deregister removes a backend server from the directory. born is the server's start time in
// milliseconds; zero matches any start. It returns false like RecordHeartbeat.
func (k *Keeper) Deregister(ctx context.Context, id encoder.ServerID, born int64) bool {
	if !k.admission.admits(k.Now(), k.isMember(), true) {
		return false
	}
	k.propagateDepartures(ctx, k.broadcaster.Deregister(id, born))
	return true
}

// Now returns the time by the keeper's clock.
func (k *Keeper) Now() time.Time { return k.process.Clock.Now() }

// ControlAddress returns the address to which backend servers send their heartbeats.
func (k *Keeper) ControlAddress() netip.AddrPort { return k.settings.ControlAddress }

// propagateDepartures sends departures to the other keepers before they are acknowledged, so that
// docks receive them even if this keeper fails right after the acknowledgement.
func (k *Keeper) propagateDepartures(ctx context.Context, changed []encoder.Registration) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	for _, r := range changed {
		if r.State == encoder.PresenceReady {
			continue
		}
		k.process.Log.Info().Str(recorder.FieldServer, string(r.ID)).Str(recorder.FieldService, string(r.Service)).
			Stringer(recorder.FieldState, r.State).Uint64(recorder.FieldSequence, r.Sequence).
			Int64(recorder.FieldBorn, r.Born).Bool(recorder.FieldAnyStart, r.IsAnyStart).Msg(recorder.EventServerDeparts)
		// The departure is sent to the other keepers before the directory is saved, because the
		// disk may be slow.
		k.sendDeparture(ctx, r)
		k.broadcaster.Save()
	}
}

// sendDeparture sends a departure to all other voters and waits until a majority, which includes
// this keeper, has acknowledged it or the context ends.
func (k *Keeper) sendDeparture(ctx context.Context, r encoder.Registration) {
	s := k.replicator.Status()
	acknowledged := make(chan struct{}, len(s.Voters))
	for _, m := range s.Voters {
		if m.Name != s.Self.Name {
			k.tasks.Add(1)
			go (&departureSender{keeper: k, to: m, registration: r, acknowledged: acknowledged}).run()
		}
	}
	for range len(s.Voters) / 2 {
		select {
		case <-acknowledged:
		case <-ctx.Done():
			return
		}
	}
}

// departureSender sends one departure to one keeper.
type departureSender struct {
	keeper       *Keeper
	to           replicator.Member
	registration encoder.Registration
	acknowledged chan<- struct{}
}

// run makes the call and logs a failure.
func (s *departureSender) run() {
	k := s.keeper
	defer k.tasks.Done()
	ctx, cancel := context.WithTimeout(k.ctx, departureCallTimeout)
	defer cancel()
	_, err := linker.Call[encoder.Registration, encoder.DepartReply](ctx, k.pool.Link(s.to.Address), encoder.KindDepart, s.registration)
	if err != nil {
		k.process.Log.Warn().Err(err).Str(recorder.FieldServer, string(s.registration.ID)).
			Str(recorder.FieldMember, string(s.to.Name)).Msg(recorder.EventDepartureNotForwarded)
		return
	}
	s.acknowledged <- struct{}{}
}
