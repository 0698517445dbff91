package forwarder

import (
	"bytes"
	"sort"
)

// recordBytes is the size in bytes of one record of a part. A shorter rest of a part is ignored.
const recordBytes = 16

// topRecords keeps the greatest records of the parts that were added. Equal records are all kept.
type topRecords struct {
	limit int
	// records are the greatest records so far, in descending order.
	records [][]byte
}

// add adds the records of a part.
func (t *topRecords) add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		t.insert(part[:recordBytes])
	}
}

// insert inserts a record in order if it is among the greatest.
func (t *topRecords) insert(record []byte) {
	isFull := len(t.records) >= t.limit
	if isFull && (t.limit <= 0 || bytes.Compare(record, t.records[len(t.records)-1]) <= 0) {
		return
	}
	position := sort.Search(len(t.records), func(i int) bool { return bytes.Compare(t.records[i], record) < 0 })
	if !isFull {
		t.records = append(t.records, nil)
	}
	copy(t.records[position+1:], t.records[position:])
	t.records[position] = record
}

// body returns the records in descending order.
func (t *topRecords) body() []byte { return bytes.Join(t.records, nil) }
