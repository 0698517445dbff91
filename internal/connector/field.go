package connector

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// errRepeated reports a field that an object has twice, so that it is not known which value counts.
var errRepeated = eris.New("repeated field")

// field is a field of a JSON object that is told from an absent one. An object that repeats it is malformed.
type field[T any] struct {
	value T
	// isGiven is set if the object has the field, and hasValue if the field is not null.
	isGiven, hasValue bool
}

// UnmarshalJSON decodes the field's value.
func (f *field[T]) UnmarshalJSON(b []byte) error {
	if f.isGiven {
		return errRepeated
	}
	f.isGiven = true
	f.hasValue = string(b) != "null"
	return json.Unmarshal(b, &f.value)
}

// is reports whether a comparable field has a value.
func (f field[T]) is(value T) bool { return f.hasValue && any(f.value) == any(value) }
