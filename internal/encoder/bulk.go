package encoder

import (
	"encoding/binary"
	"math"

	"github.com/rotisserie/eris"
)

// minBulkBytes is the size of the bodies that are not copied.
const minBulkBytes = 4 << 10

// First bytes of msgpack maps with up to maxFixedEntries entries, and with 16 bits for their number; of texts of up to 31
// bytes; and of bytes with 16 and 32 bits for their length.
const (
	fixedMap        = 0x80
	maxFixedEntries = 15
	map16           = 0xde
	fixedText       = 0xa0
	bytes16         = 0xc5
	bytes32         = 0xc6
)

// bulky is a message with a body that may be large.
type bulky interface {
	// withoutBulk returns the message without its body, the name of the body's field, and the body.
	withoutBulk() (rest any, field string, body []byte)
}

func (r GatherRequest) withoutBulk() (any, string, []byte) {
	body := r.Body
	r.Body = nil
	return r, "b", body
}

func (r RelayRequest) withoutBulk() (any, string, []byte) {
	body := r.Body
	r.Body = nil
	return r, "b", body
}

func (r RelayReply) withoutBulk() (any, string, []byte) {
	body := r.Body
	r.Body = nil
	return r, "b", body
}

func (b ShardBatch) withoutBulk() (any, string, []byte) {
	body := b.Body
	b.Body = nil
	return b, "Body", body
}

// EncodeParts encodes a message as msgpack in two parts. The second one is the message's body itself, so that a body that
// is sent to several hosts is not copied for each of them. It is empty if the message has no large body.
func EncodeParts[M any](message M) (head, bulk []byte, err error) {
	b, ok := any(message).(bulky)
	if !ok {
		head, err = Encode(message)
		return head, nil, err
	}
	rest, field, body := b.withoutBulk()
	if len(body) < minBulkBytes || len(body) > math.MaxUint32 {
		head, err = Encode(message)
		return head, nil, err
	}
	if head, err = Encode(rest); err != nil {
		return nil, nil, err
	}
	if head, err = addEntry(head); err != nil {
		return nil, nil, err
	}
	// A field that occurs twice has the last value.
	head = append(head, fixedText|byte(len(field)))
	head = append(head, field...)
	return appendBytesHeader(head, len(body)), body, nil
}

// addEntry increases the number of entries in the header of an encoded map.
func addEntry(encoded []byte) ([]byte, error) {
	switch first := encoded[0]; {
	case first >= fixedMap && first < fixedMap+maxFixedEntries:
		encoded[0]++
		return encoded, nil
	case first == fixedMap+maxFixedEntries:
		return append([]byte{map16, 0, maxFixedEntries + 1}, encoded[1:]...), nil
	case first == map16:
		binary.BigEndian.PutUint16(encoded[1:], binary.BigEndian.Uint16(encoded[1:])+1)
		return encoded, nil
	default:
		return nil, eris.Errorf("a message begins with %#x and not with a map", first)
	}
}

// appendBytesHeader appends the header of some bytes.
func appendBytesHeader(encoded []byte, size int) []byte {
	if size <= math.MaxUint16 {
		return binary.BigEndian.AppendUint16(append(encoded, bytes16), uint16(size))
	}
	return binary.BigEndian.AppendUint32(append(encoded, bytes32), uint32(size))
}
