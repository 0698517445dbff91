package replicator

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
)

// TestJointConfigurationNeedsBothMajorities guards against a decision of the new voters alone: while a voter is
// replaced, a majority of the former voters may still follow another leader.
func TestJointConfigurationNeedsBothMajorities(t *testing.T) {
	member := func(i identifier.Incarnation) Member { return Member{Incarnation: i} }
	before := Configuration{Voters: []Member{member(1), member(2), member(3)}}
	joint := before.replace(member(3), member(4))
	agree := func(c Configuration, members ...identifier.Incarnation) bool {
		return c.isQuorum(func(i identifier.Incarnation) bool { return slices.Contains(members, i) })
	}
	assert.Assert(t, !agree(joint, 1, 4), "one of three former voters")
	assert.Assert(t, agree(joint, 1, 2))
	assert.Assert(t, agree(joint, 1, 2, 4))
	assert.Assert(t, agree(joint.complete(), 1, 4))
	assert.Assert(t, !agree(joint.complete(), 1, 3), "the replaced voter is none")
	five := Configuration{Voters: []Member{member(1), member(2), member(3), member(4), member(5)}}.replace(member(5), member(6))
	assert.Assert(t, !agree(five, 1, 2, 5, 6), "the replaced voter may have lost its disk")
	assert.Assert(t, agree(five, 1, 2, 3, 6))
	grown := before.add(member(4))
	assert.Assert(t, !agree(grown, 1, 2), "two of four")
	assert.Assert(t, agree(grown, 1, 2, 4))
}
