package registrar

import (
	"time"

	"github.com/google/uuid"
)

// KeyBytes is the length of an Idempotency-Key in bytes.
const KeyBytes = 36

// KeyTime returns the creation time that is encoded in an Idempotency-Key, in whole milliseconds.
// It returns false if the key is not a version 7 UUID in the usual form of 36 characters.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != KeyBytes {
		return time.Time{}, false
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := u.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).Truncate(time.Millisecond), true
}
