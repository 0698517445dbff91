package registrar

import (
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// maxReleases bounds the releases that a keeper remembers besides those in the ledger's entries.
const maxReleases = 10_000

// releasedClaim identifies a claim that was released.
type releasedClaim struct {
	key      entryKey
	claimant Claimant
}

// releases are the latest releases of claims that this keeper has applied, over all keys. An entry
// stores only the last few of its key. The set is not part of the replicated state and must not
// influence it: keepers of earlier releases, which do not store it, remember less after a restart. It only
// keeps a leader from proposing a late copy of a claim that was released.
type releases struct {
	known map[releasedClaim]bool
	// order holds the same claims in a ring, whose oldest one is at next once the ring is full.
	order []releasedClaim
	next  int
}

func newReleases() releases { return releases{known: map[releasedClaim]bool{}} }

// add remembers a release. It forgets the oldest one if there are too many.
func (r *releases) add(c releasedClaim) {
	if r.known[c] {
		return
	}
	r.known[c] = true
	if len(r.order) < maxReleases {
		r.order = append(r.order, c)
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = c
	r.next = (r.next + 1) % maxReleases
}

// encode writes the releases, the oldest first, unless there are none. A release that does not know them reads no
// further than the ledger's entries.
func (r *releases) encode(encoding *msgpack.Encoder) error {
	if len(r.order) == 0 {
		return nil
	}
	w := &entryWriter{encoding: encoding}
	w.length(len(r.order))
	for i := range r.order {
		c := r.order[(r.next+i)%len(r.order)]
		w.text(string(c.key.Caller))
		w.text(c.key.Key)
		w.claimant(c.claimant)
	}
	return w.err
}

// decodeReleases reads the releases behind the ledger's entries. It returns false if there are none.
func decodeReleases(decoding *msgpack.Decoder) (decoded releases, ok bool, err error) {
	if _, err := decoding.PeekCode(); errors.Is(err, io.EOF) {
		return releases{}, false, nil
	}
	decoded = newReleases()
	r := &entryReader{decoding: decoding}
	for range r.length(0, maxReleases) {
		key := entryKey{Caller: identifier.CallerName(read(r, decoding.DecodeString)), Key: read(r, decoding.DecodeString)}
		claimant := r.claimant()
		if r.err != nil {
			return releases{}, false, r.err
		}
		decoded.add(releasedClaim{key, claimant})
	}
	return decoded, true, r.err
}

// HasReleased reports whether a claim was released, as far as this keeper remembers. Such a claim must
// not be proposed: its dock does not wait for it any more.
func (r *Registrar) HasReleased(q encoder.ClaimRequest) bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.releases.known[releasedClaim{entryKey{q.Caller, q.Key}, Claimant{q.Holder, q.Request}}]
}

// settle applies a settlement and remembers a release.
func (r *Registrar) settle(c SettleCommand) encoder.SettleReply {
	reply := r.ledger.settle(c)
	s := c.Settle
	if s.Released && reply.Outcome == encoder.SettleAccepted {
		r.releases.add(releasedClaim{entryKey{s.Caller, s.Key}, Claimant{s.Holder, s.Request}})
	}
	return reply
}
