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

// unknownOutput is the output of an operation that may or may not have taken effect.
const unknownOutput = "unknown"

// history records the operations of concurrent clients for a linearizability check.
type history struct {
	mutex      sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// begin returns the time of a call, in nanoseconds since the start.
func (h *history) begin() int64 { return int64(time.Since(h.start)) }

// end records an operation. One whose output is unknown may take effect at any later time.
func (h *history) end(call int64, input any, output string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := int64(time.Since(h.start))
	if output == unknownOutput {
		returned = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: input, Output: output, Call: call, Return: returned})
}

// addRetry records that an operation that has just ended may have taken effect once more, in an
// earlier attempt whose reply was lost.
func (h *history) addRetry(call int64, input any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := int64(time.Since(h.start))
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: input, Output: unknownOutput, Call: call, Return: returned})
}

// countOutputs returns the number of operations with each output.
func (h *history) countOutputs() map[any]int {
	counts := map[any]int{}
	for _, o := range h.operations {
		counts[o.Output]++
	}
	return counts
}

// checkTimeout is the longest time that a check of a history may take.
const checkTimeout = 20 * time.Second

func (h *history) isLinearizable(model porcupine.NondeterministicModel) bool {
	result, _ := porcupine.CheckOperationsVerbose(model.ToModel(), h.operations, checkTimeout)
	return result == porcupine.Ok
}

func (h *history) expectLinearizable(t *testing.T, model porcupine.NondeterministicModel) {
	t.Helper()
	result, _ := porcupine.CheckOperationsVerbose(model.ToModel(), h.operations, checkTimeout)
	if result != porcupine.Ok {
		for _, o := range h.operations {
			t.Logf("from %d to %d ns: %+v returns %v", o.Call, o.Return, o.Input, o.Output)
		}
	}
	assert.Equal(t, result, porcupine.Ok)
}

// submission is an operation on the manifest register. Manifests with equal numbers differ by
// their variant.
type submission struct {
	number  uint64
	variant string
}

// registerState is the model's state of the register: the current manifest and all accepted
// manifests.
type registerState struct {
	current  submission
	accepted string
}

func (s registerState) holds(i submission) bool {
	return strings.Contains(s.accepted, i.String())
}

func (i submission) String() string { return "/" + string(rune('0'+i.number)) + i.variant + "/" }

func (s registerState) apply(i submission) (registerState, string) {
	switch {
	case i.number > s.current.number:
		return registerState{i, s.accepted + i.String()}, encoder.SubmitAccepted.String()
	case s.holds(i):
		return s, encoder.SubmitAccepted.String()
	case i.number == s.current.number:
		return s, encoder.SubmitConflict.String()
	default:
		return s, encoder.SubmitSuperseded.String()
	}
}

// registerModel is the sequential model of the manifest register.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		before := state.(registerState)
		after, outcome := before.apply(input.(submission))
		switch output {
		case unknownOutput:
			return []any{before, after}
		case outcome:
			return []any{after}
		default:
			return nil
		}
	},
}

// ledgerInput is an operation on one key by one request. Its kind is claim, settle, doubt or
// release.
type ledgerInput struct {
	key     string
	kind    string
	request int
}

// ledgerState is the model's state of one key. released has a bit for each request whose claim was
// released.
type ledgerState struct {
	phase    string
	holder   int
	released uint64
}

// claimSteps returns the possible states after a claim, with the output of each.
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
		// The leader may consider the holder gone and put the key in doubt.
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

// settleStep returns the state after a claim was settled, released or put in doubt, and the output.
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

// ledgerModel is the sequential model of the ledger. Each key is checked separately.
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
			if outcome == output || output == unknownOutput {
				next = append(next, after)
			}
		}
		if output == unknownOutput && !slices.Contains(next, any(before)) {
			next = append(next, before)
		}
		return next
	},
}
