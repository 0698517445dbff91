package journaler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrCorrupt is matched by errors of type CorruptError. They are returned for files that are
	// missing or damaged, except for damage at the unsynced end of the log.
	ErrCorrupt = eris.New("corrupt file")
	// ErrVersion is returned for a file with an unknown format version.
	ErrVersion = eris.New("unknown format version")
	// ErrLocked is returned when another process uses the data folder.
	ErrLocked = eris.New("data folder in use")
	// ErrFailed is returned when an earlier write failed, so that the content on disk is unknown.
	ErrFailed = eris.New("an earlier write failed")
)

// CorruptError describes the damage in a file at an offset in bytes. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason as text.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt file %q at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }
