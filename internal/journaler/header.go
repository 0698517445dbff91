package journaler

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// prefixSize is the length in bytes of the magic and the version at the start of each file.
const prefixSize = 8

// checkMagic checks the magic and the version of a file's content. It returns a CorruptError for
// another magic and ErrVersion for another version.
func checkMagic(name string, b []byte, magic string, version uint32) error {
	if len(b) < prefixSize || string(b[:4]) != magic {
		return &CorruptError{File: name, Reason: "not a file of type " + magic}
	}
	if v := binary.BigEndian.Uint32(b[4:]); v != version {
		return eris.Wrapf(ErrVersion, "%s has version %d, expected %d", name, v, version)
	}
	return nil
}

// readAll returns the whole content of a file.
func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if size == 0 {
		return b, nil
	}
	if _, err := f.ReadAt(b, 0); err != nil {
		return nil, eris.Wrap(err, "read")
	}
	return b, nil
}
