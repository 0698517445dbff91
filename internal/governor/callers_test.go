package governor_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/claimer"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// runCaller sends requests that must run at most once, and resends them through random docks.
func (f *faultRun) runCaller(r *rand.Rand, caller int) {
	for !f.isStopping() {
		millis := time.Now().UnixMilli()
		key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, caller)
		var attempts sync.WaitGroup
		for request := range 1 + r.IntN(5) {
			d := f.cluster.dock(dockName(r.IntN(dockCount)))
			if d == nil {
				continue
			}
			choice := r.Float64()
			duration := time.Duration(r.IntN(800)) * time.Millisecond
			attempts.Go(func() { f.attempt(d, key, request, choice, duration) })
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		attempts.Wait()
	}
}

// requestID returns the identifier of a caller's request, numbered from 0.
func requestID(request int) identifier.RequestID { return identifier.RequestID{byte(request + 1)} }

// requestNumber is the inverse of requestID.
func requestNumber(id identifier.RequestID) int { return int(id[0]) - 1 }

// newClaimRequest returns the claim of a key by a request at a dock.
func newClaimRequest(d *dock, key string, request int) encoder.ClaimRequest {
	return encoder.ClaimRequest{Caller: "c", Key: key, Body: 1, Dock: d.identity.Name, Holder: d.identity.Incarnation, Request: requestID(request)}
}

// attempt claims a key, runs the request for duration if the claim is granted, and settles the
// claim. choice, between 0 and 1, selects the outcome: the claim is released without a run (below
// 0.15), settled with a result, put in doubt (above 0.8) or never settled (above 0.9).
func (f *faultRun) attempt(d *dock, key string, request int, choice float64, duration time.Duration) {
	q := newClaimRequest(d, key, request)
	f.mutex.Lock()
	f.keys[key] = true
	f.mutex.Unlock()
	input := ledgerInput{key, "claim", request}
	call := f.ledger.begin()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	reply, err := d.claimer.Claim(ctx, q)
	cancel()
	if err != nil {
		f.ledger.end(call, input, unknownOutput)
		f.ledger.end(f.ledger.begin(), ledgerInput{key, "release", request}, unknownOutput)
		return
	}
	f.ledger.end(call, input, reply.Outcome.String())
	switch reply.Outcome {
	case encoder.ClaimInDoubt:
		f.ledger.addRetry(call, input)
	case encoder.ClaimHeld:
		f.recordLateAttempts(call, q, request)
	case encoder.ClaimGranted:
		f.run(d, q, request, choice, duration)
	default:
		// No late attempt changes the key after any other outcome.
	}
}

// recordLateAttempts records that an earlier attempt of a claim that was refused may arrive later.
// The dock then releases the claim.
func (f *faultRun) recordLateAttempts(call int64, q encoder.ClaimRequest, request int) {
	if !f.cluster.hasOpenAttempt(q) {
		return
	}
	f.ledger.end(call, ledgerInput{q.Key, "claim", request}, unknownOutput)
	f.ledger.end(f.ledger.begin(), ledgerInput{q.Key, "release", request}, unknownOutput)
}

// run runs a request whose claim was granted and settles the claim, as choice selects.
func (f *faultRun) run(d *dock, q encoder.ClaimRequest, request int, choice float64, duration time.Duration) {
	f.mutex.Lock()
	f.granted[newClaimOfKey(q)] = true
	f.mutex.Unlock()
	if d.isStopped() {
		return
	}
	if choice < 0.15 {
		f.settle(d, q, request, "release", encoder.SettleRequest{Released: true})
		return
	}
	f.mutex.Lock()
	f.executed[q.Key]++
	f.mutex.Unlock()
	time.Sleep(duration)
	switch {
	case d.isStopped() || choice > 0.9:
	case choice > 0.8:
		f.settle(d, q, request, "doubt", encoder.SettleRequest{InDoubt: true})
	default:
		f.settle(d, q, request, "settle", encoder.SettleRequest{Result: []byte(q.Key)})
	}
}

func (f *faultRun) settle(d *dock, q encoder.ClaimRequest, request int, kind string, r encoder.SettleRequest) {
	r.Caller, r.Key, r.Holder, r.Request = q.Caller, q.Key, q.Holder, q.Request
	call := f.ledger.begin()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	err := d.claimer.Settle(ctx, r)
	cancel()
	output := "accepted"
	switch {
	case errors.Is(err, claimer.ErrRefused):
		output = "refused"
	case err != nil:
		output = unknownOutput
	}
	f.ledger.end(call, ledgerInput{key: q.Key, kind: kind, request: request}, output)
}
