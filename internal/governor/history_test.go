package governor_test

import (
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// isUnknown is the output of an operation of which nobody knows whether it took effect.
const isUnknown = "unknown"

// history records the operations of concurrent clients.
type history struct {
	mutex      sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// begin returns the moment of a call.
func (h *history) begin() int64 { return int64(time.Since(h.start)) }

// end records an operation. One without a known output may take effect until the end.
func (h *history) end(call int64, input any, output string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := int64(time.Since(h.start))
	if output == isUnknown {
		returned = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: input, Output: output, Call: call, Return: returned})
}

// addRetry records that an operation which just ended may have taken effect once before its
// last try, of which the answer was lost.
func (h *history) addRetry(call int64, input any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := int64(time.Since(h.start))
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: input, Output: isUnknown, Call: call, Return: returned})
}

// tally counts the outputs.
func (h *history) tally() map[any]int {
	counts := map[any]int{}
	for _, o := range h.operations {
		counts[o.Output]++
	}
	return counts
}

func (h *history) expectLinearizable(t *testing.T, model porcupine.NondeterministicModel) {
	t.Helper()
	result, _ := porcupine.CheckOperationsVerbose(model.ToModel(), h.operations, 20*time.Second)
	if result != porcupine.Ok {
		for _, o := range h.operations {
			t.Logf("%d to %d: %+v gives %v", o.Call, o.Return, o.Input, o.Output)
		}
	}
	assert.Equal(t, result, porcupine.Ok)
}

// submission is an operation on the manifest register.
type submission struct {
	number uint64
	remark string
}

// registerState is the register as the model holds it: the standing manifest and all that
// were accepted.
type registerState struct {
	standing submission
	accepted string
}

func (s registerState) holds(i submission) bool {
	return strings.Contains(s.accepted, i.String())
}

func (i submission) String() string { return "/" + string(rune('0'+i.number)) + i.remark + "/" }

func (s registerState) apply(i submission) (registerState, string) {
	switch {
	case i.number > s.standing.number:
		return registerState{i, s.accepted + i.String()}, encoder.SubmitAccepted.String()
	case s.holds(i):
		return s, encoder.SubmitAccepted.String()
	case i.number == s.standing.number:
		return s, encoder.SubmitConflict.String()
	default:
		return s, encoder.SubmitSuperseded.String()
	}
}

// registerModel is the manifest register.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		before := state.(registerState)
		after, outcome := before.apply(input.(submission))
		switch output {
		case isUnknown:
			return []any{before, after}
		case outcome:
			return []any{after}
		default:
			return nil
		}
	},
}

// ledgerInput is an operation on one key by one request.
type ledgerInput struct {
	key     string
	kind    string
	request int
}

// ledgerState is one key of the ledger as the model holds it.
type ledgerState struct {
	phase    string
	holder   int
	released uint64
}

// claimSteps returns the states and outputs that a claim may lead to.
func (s ledgerState) claimSteps(request int) map[ledgerState]string {
	if s.released&(1<<request) != 0 {
		return map[ledgerState]string{s: encoder.ClaimReleased.String()}
	}
	switch s.phase {
	case "":
		return map[ledgerState]string{{"claimed", request, s.released}: encoder.ClaimGranted.String()}
	case "claimed":
		if s.holder == request {
			return map[ledgerState]string{s: encoder.ClaimGranted.String()}
		}
		// The leader may hold the holder for gone.
		return map[ledgerState]string{
			s:                               encoder.ClaimHeld.String(),
			{"doubt", s.holder, s.released}: encoder.ClaimInDoubt.String(),
		}
	case "settled":
		return map[ledgerState]string{s: encoder.ClaimSettled.String()}
	default:
		return map[ledgerState]string{s: encoder.ClaimInDoubt.String()}
	}
}

// settleStep returns the state and output of the end of a claim.
func (s ledgerState) settleStep(kind string, request int) (ledgerState, string) {
	const accepted, refused = "accepted", "refused"
	isHolder := s.phase != "" && s.holder == request
	if kind == "release" {
		switch {
		case s.released&(1<<request) != 0:
			return s, accepted
		case isHolder && s.phase != "claimed":
			return s, refused
		case isHolder:
			return ledgerState{"", 0, s.released | 1<<request}, accepted
		default:
			s.released |= 1 << request
			return s, accepted
		}
	}
	if !isHolder {
		return s, refused
	}
	if kind == "settle" || s.phase == "claimed" {
		s.phase = map[string]string{"settle": "settled", "doubt": "doubt"}[kind]
	}
	return s, accepted
}

// ledgerModel is the ledger, checked key by key.
var ledgerModel = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range all {
			key := o.Input.(ledgerInput).key
			byKey[key] = append(byKey[key], o)
		}
		parts := [][]porcupine.Operation{}
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{ledgerState{}} },
	Step: func(state, input, output any) []any {
		before, i := state.(ledgerState), input.(ledgerInput)
		steps := map[ledgerState]string{}
		if i.kind == "claim" {
			steps = before.claimSteps(i.request)
		} else {
			after, outcome := before.settleStep(i.kind, i.request)
			steps[after] = outcome
		}
		var next []any
		for after, outcome := range steps {
			if outcome == output || output == isUnknown {
				next = append(next, after)
			}
		}
		if output == isUnknown && !slices.Contains(next, any(before)) {
			next = append(next, before)
		}
		return next
	},
}
