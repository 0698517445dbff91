package registrar

import (
	"time"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// ResultBytes is the size in bytes of the largest result that the ledger stores.
	ResultBytes = 4 << 10
	// releasedPerEntry is how many of the latest released claims an entry stores.
	releasedPerEntry = 4
	// bucketMillis is the range of creation times, in milliseconds, whose entries expire together.
	bucketMillis = 60_000
)

// Limits are the limits of the ledger.
type Limits struct {
	// Window is how long a key may be claimed after its creation.
	Window time.Duration
	// Ahead is how far a key's creation time may be ahead of the leader's clock.
	Ahead time.Duration
	// Entries is the maximum number of entries.
	Entries int
}

// DefaultLimits returns the limits that apply unless a program sets others.
func DefaultLimits() Limits {
	return Limits{Window: time.Hour, Ahead: time.Minute, Entries: 100_000}
}

// entryState is the state of a key. The numbers are part of the snapshot's format.
type entryState uint8

const (
	// stateClaimed means that the holder may dispatch its request.
	stateClaimed entryState = iota
	// stateSettled means that the outcome of the request is stored.
	stateSettled
	// stateInDoubt means that the request may have run. The key is never granted again.
	stateInDoubt
	// stateReleased means that no request of the key was run. The key may be claimed.
	stateReleased
)

// entryKey identifies an entry. Keys of different callers are independent.
type entryKey struct {
	Caller identifier.CallerName
	Key    string
}

// entry is the ledger's record of a key.
type entry struct {
	state  entryState
	body   identifier.Fingerprint
	dock   identifier.HostName
	holder Claimant
	// isHolderGone means that the leader put the claim in doubt because the holder was gone.
	isHolderGone bool
	// released are the latest released claims, oldest first. A delayed copy of such a claim must
	// not claim the key for a request whose caller has already left.
	released      []Claimant
	result        []byte
	resultOmitted bool
}

// ledger grants each key at most once within the window.
type ledger struct {
	invariants checker.Hook

	// horizonMillis is the creation time, in Unix milliseconds, up to which keys are refused as
	// too old. It never falls, so a key whose entry has expired is never granted again.
	horizonMillis int64
	entries       map[entryKey]*entry
	// buckets contains the keys of the entries by creation time divided by bucketMillis.
	buckets map[int64][]entryKey
}

// newLedger returns an empty ledger.
func newLedger(invariants checker.Hook) ledger {
	return ledger{invariants: invariants, entries: map[entryKey]*entry{}, buckets: map[int64][]entryKey{}}
}

// claim applies a claim: it checks the key's creation time and the limits, creates the entry if
// there is none, and claims it.
func (l *ledger) claim(c ClaimCommand) encoder.ClaimReply {
	l.raiseHorizon(c.OldestMillis)
	created, ok := KeyTime(c.Claim.Key)
	if !ok {
		return encoder.ClaimReply{Outcome: encoder.ClaimUndated}
	}
	if created.UnixMilli() <= l.horizonMillis {
		return encoder.ClaimReply{Outcome: encoder.ClaimTooOld}
	}
	if created.UnixMilli() > c.NewestMillis {
		return encoder.ClaimReply{Outcome: encoder.ClaimAhead}
	}
	key := entryKey{c.Claim.Caller, c.Claim.Key}
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= c.EntryLimit {
			return encoder.ClaimReply{Outcome: encoder.ClaimFull}
		}
		e = l.addEntry(key, created.UnixMilli())
	}
	if c.Gone != nil && e.state == stateClaimed && e.holder == *c.Gone {
		e.state = stateInDoubt
		e.isHolderGone = true
	}
	return e.claim(c.Claim)
}

// settle records the outcome of a claim. It refuses outcomes of keys that are too old or have no
// entry. A release of a key without an entry is stored.
func (l *ledger) settle(c SettleCommand) encoder.SettleReply {
	s := c.Settle
	created, ok := KeyTime(s.Key)
	if !ok || created.UnixMilli() <= l.horizonMillis {
		return encoder.SettleReply{Outcome: encoder.SettleRefused}
	}
	key := entryKey{s.Caller, s.Key}
	e := l.entries[key]
	if e == nil {
		if !s.Released {
			return encoder.SettleReply{Outcome: encoder.SettleRefused}
		}
		// The claim may still be in flight. The stored release prevents it from being granted.
		e = l.addEntry(key, created.UnixMilli())
	}
	outcome := e.settle(s)
	// A holder that has settled its claim must not release it: the request was dispatched.
	isContradiction := s.Released && outcome == encoder.SettleRefused && !e.isHolderGone
	l.invariants.Check(!isContradiction, "settled_is_not_released", "request %s", s.Request)
	return encoder.SettleReply{Outcome: outcome}
}

// addEntry adds an entry that can be claimed.
func (l *ledger) addEntry(key entryKey, createdMillis int64) *entry {
	e := &entry{state: stateReleased}
	l.entries[key] = e
	bucket := createdMillis / bucketMillis
	l.buckets[bucket] = append(l.buckets[bucket], key)
	return e
}

// raiseHorizon raises the horizon and removes the buckets that are entirely below it.
func (l *ledger) raiseHorizon(horizonMillis int64) {
	if horizonMillis <= l.horizonMillis {
		return
	}
	oldBucket := l.horizonMillis / bucketMillis
	l.horizonMillis = horizonMillis
	if horizonMillis/bucketMillis == oldBucket {
		return
	}
	for bucket, keys := range l.buckets {
		if (bucket+1)*bucketMillis > horizonMillis {
			continue
		}
		for _, k := range keys {
			delete(l.entries, k)
		}
		delete(l.buckets, bucket)
	}
}

// claim grants the key to the first claimant and returns the state of the key to all others.
func (e *entry) claim(c encoder.ClaimRequest) encoder.ClaimReply {
	claimant := Claimant{c.Holder, c.Request}
	if e.hasReleased(claimant) {
		return encoder.ClaimReply{Outcome: encoder.ClaimReleased}
	}
	if e.state == stateReleased {
		e.state = stateClaimed
		e.body = c.Body
		e.dock = c.Dock
		e.holder = claimant
		return encoder.ClaimReply{Outcome: encoder.ClaimGranted}
	}
	if e.body != c.Body {
		return encoder.ClaimReply{Outcome: encoder.ClaimMismatch}
	}
	switch e.state {
	case stateSettled:
		return encoder.ClaimReply{Outcome: encoder.ClaimSettled, Result: e.result, ResultOmitted: e.resultOmitted}
	case stateInDoubt:
		return encoder.ClaimReply{Outcome: encoder.ClaimInDoubt}
	default:
		if e.holder == claimant {
			// This is a retry of the holder, whose first reply was lost.
			return encoder.ClaimReply{Outcome: encoder.ClaimGranted}
		}
		return encoder.ClaimReply{
			Outcome:       encoder.ClaimHeld,
			HolderDock:    e.dock,
			Holder:        e.holder.Holder,
			HolderRequest: e.holder.Request,
		}
	}
}

// settle records the outcome that the holder reports. It refuses outcomes of other claimants.
func (e *entry) settle(s encoder.SettleRequest) encoder.SettleOutcome {
	claimant := Claimant{s.Holder, s.Request}
	if s.Released {
		return e.release(claimant)
	}
	if e.holder != claimant || e.state == stateReleased {
		return encoder.SettleRefused
	}
	if s.InDoubt {
		// A stored result is kept.
		if e.state == stateClaimed {
			e.state = stateInDoubt
		}
		return encoder.SettleAccepted
	}
	if e.state == stateClaimed || e.state == stateInDoubt {
		e.state = stateSettled
		e.storeResult(s)
	}
	return encoder.SettleAccepted
}

// storeResult stores the result of a settled request. It omits a result of more than ResultBytes
// bytes.
func (e *entry) storeResult(s encoder.SettleRequest) {
	e.resultOmitted = s.ResultOmitted || len(s.Result) > ResultBytes
	if !e.resultOmitted {
		e.result = s.Result
	}
}

// release releases a claim whose request was never run. It refuses to release a claim that is
// settled or in doubt.
func (e *entry) release(claimant Claimant) encoder.SettleOutcome {
	if e.hasReleased(claimant) {
		return encoder.SettleAccepted
	}
	if e.state == stateClaimed && e.holder == claimant {
		e.state = stateReleased
		e.holder = Claimant{}
	}
	if e.holder == claimant {
		return encoder.SettleRefused
	}
	e.released = append(e.released, claimant)
	if len(e.released) > releasedPerEntry {
		e.released = e.released[1:]
	}
	return encoder.SettleAccepted
}

// hasReleased reports whether a claim is one of the latest released claims.
func (e *entry) hasReleased(claimant Claimant) bool {
	for _, c := range e.released {
		if c == claimant {
			return true
		}
	}
	return false
}
