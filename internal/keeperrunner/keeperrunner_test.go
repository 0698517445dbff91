package keeperrunner

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/replicator"
)

// TestKeeperIsReadyBeforeItHasReplacedAnother guards against an operator who stops a second host while
// decisions still need a majority of the former voters.
func TestKeeperIsReadyBeforeItHasReplacedAnother(t *testing.T) {
	voters := []replicator.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	assert.ErrorIs(t, checkVoters(replicator.Status{Voters: voters}), errNoVote)
	assert.ErrorIs(t, checkVoters(replicator.Status{IsVoter: true, Voters: voters, Outgoing: voters}), errVotersChange)
	assert.NilError(t, checkVoters(replicator.Status{IsVoter: true, Voters: voters}))
}
