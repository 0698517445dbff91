package encoder

import (
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Enums in messages are encoded as numbers. If they were encoded as texts, a value added by a
// newer release would make an older release reject the whole message. An unknown number is
// decoded unchanged, and the code that reads it handles it in its default case.

// enum is a type whose values fit into one byte.
type enum interface{ ~uint8 }

// encodeEnum encodes a value as a number.
func encodeEnum[E enum](e *msgpack.Encoder, value E) error {
	return e.EncodeUint8(uint8(value))
}

// decodeEnum decodes a value from a number. A number beyond the type's range becomes 255,
// which no release uses.
func decodeEnum[E enum](d *msgpack.Decoder, value *E) error {
	n, err := d.DecodeUint64()
	if err != nil {
		return err
	}
	*value = E(min(n, math.MaxUint8))
	return nil
}

// EncodeMsgpack writes the value as a number.
func (i ClaimOutcome) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *ClaimOutcome) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i HostState) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *HostState) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i MissingReason) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *MissingReason) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i ServerProtocol) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *ServerProtocol) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i ServerState) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *ServerState) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i SettleOutcome) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *SettleOutcome) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }

// EncodeMsgpack writes the value as a number.
func (i SubmitOutcome) EncodeMsgpack(e *msgpack.Encoder) error { return encodeEnum(e, i) }

// DecodeMsgpack reads the value as a number.
func (i *SubmitOutcome) DecodeMsgpack(d *msgpack.Decoder) error { return decodeEnum(d, i) }
