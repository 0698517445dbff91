package registrar

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"banyandock.example/banyandock/internal/encoder"
)

// snapshotVersion is the first byte of each snapshot.
const snapshotVersion = 1

// snapshotHeader is the first part of a snapshot. The ledger's entries follow, ordered by bucket
// and, within a bucket, in the order in which the log added them. So equal logs give equal bytes
// without sorting the entries. The remembered releases follow, unless there are none.
type snapshotHeader struct {
	Manifest      encoder.ManifestText
	History       []acceptedManifest
	HorizonMillis int64
	Entries       int
	// Evacuations is nil if no failure domain was ever evacuated. A release that does not know it ignores
	// it.
	Evacuations *evacuationsSnapshot `msgpack:",omitempty"`
}

// Snapshot encodes the state.
func (r *Registrar) Snapshot() ([]byte, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var b bytes.Buffer
	b.WriteByte(snapshotVersion)
	encoding := msgpack.NewEncoder(&b)
	header := snapshotHeader{
		Manifest:      r.register.current,
		History:       r.register.history,
		HorizonMillis: r.ledger.horizonMillis,
		Entries:       len(r.ledger.entries),
		Evacuations:   r.evacuations.snapshot(),
	}
	if err := encoding.Encode(header); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	for _, bucket := range r.ledger.sortedBuckets() {
		for _, k := range r.ledger.buckets[bucket] {
			if err := encodeEntry(encoding, k, r.ledger.entries[k]); err != nil {
				return nil, eris.Wrap(err, "encode snapshot")
			}
		}
	}
	if err := r.releases.encode(encoding); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	return b.Bytes(), nil
}

// sortedBuckets returns the buckets from the oldest to the newest.
func (l *ledger) sortedBuckets() []int64 {
	buckets := make([]int64, 0, len(l.buckets))
	for b := range l.buckets {
		buckets = append(buckets, b)
	}
	slices.Sort(buckets)
	return buckets
}

// Restore replaces the state by a snapshot. It returns ErrMalformedSnapshot and keeps the state if
// the bytes are not a valid snapshot.
func (r *Registrar) Restore(b []byte) error {
	if len(b) == 0 || b[0] != snapshotVersion {
		return eris.Wrapf(ErrMalformedSnapshot, "%d bytes of unknown version", len(b))
	}
	decoding := msgpack.NewDecoder(bytes.NewReader(b[1:]))
	var header snapshotHeader
	if err := decoding.Decode(&header); err != nil {
		return eris.Wrapf(ErrMalformedSnapshot, "%v", err)
	}
	l := newLedger(r.invariants)
	l.horizonMillis = header.HorizonMillis
	for range header.Entries {
		if err := l.restoreEntry(decoding); err != nil {
			return eris.Wrapf(ErrMalformedSnapshot, "%v", err)
		}
	}
	releases, hasReleases, err := decodeReleases(decoding)
	if err != nil {
		return eris.Wrapf(ErrMalformedSnapshot, "%v", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if hasReleases {
		r.releases = releases
	}
	r.register.current = header.Manifest
	r.register.history = header.History
	r.ledger = l
	r.evacuations = restoreEvacuations(header.Evacuations)
	return nil
}

// restoreEntry decodes one entry and adds it. It returns an error if the entry is malformed or its
// key has no creation time.
func (l *ledger) restoreEntry(decoding *msgpack.Decoder) error {
	k, restored, err := decodeEntry(decoding)
	if err != nil {
		return err
	}
	created, ok := KeyTime(k.Key)
	if !ok {
		return eris.Errorf("key %q shows no time", k.Key)
	}
	*l.addEntry(k, created.UnixMilli()) = restored
	return nil
}
