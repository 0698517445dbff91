package governor_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// ledgerCall is a claim in a handwritten history. Its times are in milliseconds.
type ledgerCall struct {
	request    int
	from, to   int64
	outcome    encoder.ClaimOutcome
	mayBeRetry bool
}

// isPossible reports whether the ledger's model allows a history of claims of one key.
func isPossible(calls ...ledgerCall) bool {
	operations := []porcupine.Operation{}
	for _, c := range calls {
		input := ledgerInput{"key", "claim", c.request}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: input, Output: c.outcome.String(), Call: c.from, Return: c.to})
		if c.mayBeRetry {
			operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: input, Output: unknownOutput, Call: c.from, Return: c.to})
		}
	}
	result, _ := porcupine.CheckOperationsVerbose(ledgerModel.ToModel(), operations, 10*time.Second)
	return result == porcupine.Ok
}

// TestModelAllowsLostReplies checks the history of a random run that failed: both claims of a key
// returned "in doubt", although no reply had granted it, because the reply of the granted attempt
// was lost.
func TestModelAllowsLostReplies(t *testing.T) {
	first := ledgerCall{request: 0, from: 35_830, to: 36_890, outcome: encoder.ClaimInDoubt, mayBeRetry: true}
	second := ledgerCall{request: 1, from: 36_450, to: 36_451, outcome: encoder.ClaimInDoubt, mayBeRetry: true}
	assert.Assert(t, isPossible(first, second))
	first.mayBeRetry, second.mayBeRetry = false, false
	assert.Assert(t, !isPossible(first, second), "without a retry no claim was granted")
	alone := ledgerCall{request: 0, from: 0, to: 1, outcome: encoder.ClaimInDoubt, mayBeRetry: true}
	assert.Assert(t, !isPossible(alone), "no other claim put the key in doubt")
	later := ledgerCall{request: 1, from: 10, to: 11, outcome: encoder.ClaimInDoubt, mayBeRetry: true}
	assert.Assert(t, !isPossible(alone, later), "the first claim returned before another one put the key in doubt")
	granted := ledgerCall{request: 1, from: 10, to: 11, outcome: encoder.ClaimGranted}
	assert.Assert(t, !isPossible(ledgerCall{request: 0, from: 0, to: 1, outcome: encoder.ClaimGranted}, granted), "granted twice")
}
