package registrar

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"banyandock.example/banyandock/internal/identifier"
)

// entryFields is the number of fields of an encoded entry. Entries are arrays that are encoded and
// decoded field by field: the replicator's only goroutine encodes all entries in one step, and the
// library's reflection takes several times as long.
const entryFields = 11

// entryWriter writes fields. After the first error it writes nothing more.
type entryWriter struct {
	encoding *msgpack.Encoder
	err      error
}

func (w *entryWriter) length(n int) {
	if w.err == nil {
		w.err = w.encoding.EncodeArrayLen(n)
	}
}

func (w *entryWriter) text(s string) {
	if w.err == nil {
		w.err = w.encoding.EncodeString(s)
	}
}

func (w *entryWriter) number(n uint64) {
	if w.err == nil {
		w.err = w.encoding.EncodeUint(n)
	}
}

func (w *entryWriter) bytes(b []byte) {
	if w.err == nil {
		w.err = w.encoding.EncodeBytes(b)
	}
}

func (w *entryWriter) flag(b bool) {
	if w.err == nil {
		w.err = w.encoding.EncodeBool(b)
	}
}

func (w *entryWriter) claimant(c Claimant) {
	w.number(uint64(c.Holder))
	w.bytes(c.Request[:])
}

// encodeEntry writes an entry with its key. It returns the first error.
func encodeEntry(encoding *msgpack.Encoder, k entryKey, e *entry) error {
	w := &entryWriter{encoding: encoding}
	w.length(entryFields)
	w.text(string(k.Caller))
	w.text(k.Key)
	w.number(uint64(e.state))
	w.number(uint64(e.body))
	w.text(string(e.dock))
	w.claimant(e.holder)
	w.flag(e.isHolderGone)
	w.flag(e.resultOmitted)
	w.bytes(e.result)
	w.length(2 * len(e.released))
	for _, c := range e.released {
		w.claimant(c)
	}
	return w.err
}

// entryReader reads fields. After the first error it returns zero values.
type entryReader struct {
	decoding *msgpack.Decoder
	err      error
}

// read reads one field. It returns the zero value if an earlier read failed.
func read[F any](r *entryReader, decode func() (F, error)) F {
	var field F
	if r.err == nil {
		field, r.err = decode()
	}
	return field
}

// length reads the length of an array. A length outside of least to most is an error.
func (r *entryReader) length(least, most int) int {
	n := read(r, r.decoding.DecodeArrayLen)
	if r.err == nil && (n < least || n > most) {
		r.err = eris.Errorf("array of %d fields", n)
	}
	return n
}

func (r *entryReader) claimant() Claimant {
	c := Claimant{Holder: identifier.Incarnation(read(r, r.decoding.DecodeUint64))}
	if b := read(r, r.decoding.DecodeBytes); r.err == nil && copy(c.Request[:], b) != len(c.Request) {
		r.err = eris.Errorf("request of %d bytes", len(b))
	}
	return c
}

// decodeEntry reads an entry with its key. It returns the first error.
func decodeEntry(decoding *msgpack.Decoder) (entryKey, entry, error) {
	r := &entryReader{decoding: decoding}
	r.length(entryFields, entryFields)
	k := entryKey{
		Caller: identifier.CallerName(read(r, decoding.DecodeString)),
		Key:    read(r, decoding.DecodeString),
	}
	e := entry{
		state:         entryState(read(r, decoding.DecodeUint64)),
		body:          identifier.Fingerprint(read(r, decoding.DecodeUint64)),
		dock:          identifier.HostName(read(r, decoding.DecodeString)),
		holder:        r.claimant(),
		isHolderGone:  read(r, decoding.DecodeBool),
		resultOmitted: read(r, decoding.DecodeBool),
		result:        read(r, decoding.DecodeBytes),
	}
	for range r.length(0, 2*releasedPerEntry) / 2 {
		e.released = append(e.released, r.claimant())
	}
	return k, e, r.err
}
