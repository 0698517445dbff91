package replicator

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

//go:generate ../../bin/enumer -type Invariant -trimprefix Invariant -transform snake -output invariant_enumer.go

// Invariant is a property that is checked at run time.
type Invariant uint8

// Invariants.
const (
	// InvariantOneLeader requires that a term has at most one leader.
	InvariantOneLeader Invariant = iota
	// InvariantOneVote requires that a member grants at most one vote in a term.
	InvariantOneVote
	// InvariantTermGrows requires that a member's term never decreases.
	InvariantTermGrows
	// InvariantCommitGrows requires that the commit index never decreases and never exceeds the
	// last index of the log.
	InvariantCommitGrows
	// InvariantCommittedStays requires that a committed entry never changes.
	InvariantCommittedStays
	// InvariantOwnTermCommit requires that a leader commits by counting only entries of its own
	// term.
	InvariantOwnTermCommit
	// InvariantAppliedInOrder requires that entries are applied one by one in the order of
	// their indexes.
	InvariantAppliedInOrder
	// InvariantSyncedFirst requires that a member applies only entries that it has synced.
	InvariantSyncedFirst
	// InvariantSameHistory requires that the hash chains of two members are equal at an index.
	InvariantSameHistory
	// InvariantOneChange requires that a configuration change is committed before the next one
	// starts.
	InvariantOneChange
	// InvariantLeaderVotes requires that a leader is a voter.
	InvariantLeaderVotes
)

// Violation describes an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	Self      Member
	Term      uint64
	Detail    string
}

// Error returns a description of the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated at %s (%x), term %d: %s",
		v.Invariant, v.Self.Name, uint64(v.Self.Incarnation), v.Term, v.Detail)
}

// ensure returns the condition, and reports a violation if it is false.
func (c *core) ensure(condition bool, i Invariant, format string, arguments ...any) bool {
	if condition {
		return true
	}
	c.options.reportViolation(Violation{
		Invariant: i,
		Self:      c.self,
		Term:      c.state.Term,
		Detail:    fmt.Sprintf(format, arguments...),
	})
	return false
}

// historySize is the number of recent hash chain values that a member keeps.
const historySize = 4096

// history is the hash chain over applied entries, with its most recent values.
type history struct {
	applied uint64
	digest  uint64
	recent  [historySize]uint64
	// oldest is the oldest index whose value is in recent.
	oldest uint64
}

// reset continues the chain from a snapshot at an index.
func (h *history) reset(index, digest uint64) {
	h.applied = index
	h.digest = digest
	h.oldest = index
	h.recent[index%historySize] = digest
}

// add extends the chain with an applied entry.
func (h *history) add(e Entry) {
	var head [24]byte
	binary.BigEndian.PutUint64(head[0:], h.digest)
	binary.BigEndian.PutUint64(head[8:], e.Index)
	binary.BigEndian.PutUint64(head[16:], e.Term)
	d := xxhash.New()
	// xxhash's Write never returns an error.
	_, _ = d.Write(head[:])
	_, _ = d.Write([]byte{byte(e.Kind)})
	_, _ = d.Write(e.Data)
	h.digest = d.Sum64()
	h.applied = e.Index
	h.recent[e.Index%historySize] = h.digest
	if h.applied-h.oldest >= historySize {
		h.oldest = h.applied - historySize + 1
	}
}

// digestAt returns the value of the chain after an index. It returns false if the value is no
// longer kept or the index is not yet applied.
func (h *history) digestAt(index uint64) (uint64, bool) {
	if index < h.oldest || index > h.applied {
		return 0, false
	}
	return h.recent[index%historySize], true
}
