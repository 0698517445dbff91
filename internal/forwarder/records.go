package forwarder

import (
	"bytes"
	"sort"
)

// recordBytes is the size of one record of a part. A remainder is no record.
const recordBytes = 16

// ranking keeps the greatest records of the parts that were added. Equal records all count.
type ranking struct {
	limit int
	// records are the greatest so far, greatest first.
	records [][]byte
}

// add takes in a part.
func (r *ranking) add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		r.insert(part[:recordBytes])
	}
}

// insert puts a record at its place if it is among the greatest.
func (r *ranking) insert(record []byte) {
	full := len(r.records) >= r.limit
	if full && (r.limit <= 0 || bytes.Compare(record, r.records[len(r.records)-1]) <= 0) {
		return
	}
	at := sort.Search(len(r.records), func(i int) bool { return bytes.Compare(r.records[i], record) < 0 })
	if !full {
		r.records = append(r.records, nil)
	}
	copy(r.records[at+1:], r.records[at:])
	r.records[at] = record
}

// body returns the records, greatest first.
func (r *ranking) body() []byte { return bytes.Join(r.records, nil) }
