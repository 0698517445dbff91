package replicator_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

// grantCounter is a transport that counts the votes that a member grants.
type grantCounter int

func (g *grantCounter) Send(_ replicator.Member, message []byte) {
	if replicator.IsGrant(message) {
		*g++
	}
}

// requestVoteAndCrash starts a member on a disk, requests its vote and crashes it. It returns
// the number of votes that the member granted.
func requestVoteAndCrash(t *testing.T, d *fakeDisk, candidate identifier.Incarnation, term uint64) int {
	t.Helper()
	j, err := journaler.Open("", journaler.WithDisk(d))
	assert.NilError(t, err)
	a, b := replicator.Member{Name: "a", Incarnation: candidate}, replicator.Member{Name: "b"}
	s := replicator.Settings{Self: b, Initial: []replicator.Member{{Name: "a"}, b}}
	granted := grantCounter(0)
	e, err := replicator.OpenEngine(s, &register{}, j, &granted)
	assert.NilError(t, err)
	message, err := replicator.VoteRequest(a, e.Incarnation(), 99, term)
	assert.NilError(t, err)
	assert.NilError(t, e.EnterTerm(term))
	assert.NilError(t, e.Step(message))
	d.crash()
	return int(granted)
}

func TestVoteSurvivesACrash(t *testing.T) {
	for seed := range uint64(20) {
		d := newFakeDisk(rand.New(rand.NewPCG(seed, 0)))
		assert.Equal(t, requestVoteAndCrash(t, d, 11, 5), 1)
		assert.Equal(t, requestVoteAndCrash(t, d, 13, 5), 0)
		assert.Equal(t, requestVoteAndCrash(t, d, 11, 5), 1)
		assert.Equal(t, requestVoteAndCrash(t, d, 13, 4), 0)
		assert.Equal(t, requestVoteAndCrash(t, d, 13, 6), 1)
		assert.Equal(t, requestVoteAndCrash(t, d, 11, 6), 0)
	}
}
