// Package packer compresses configurations. It reduces traffic, because the routes of a
// configuration repeat the names of many services and each change is sent to every keeper and
// every dock.
package packer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// compressionLevel is the DEFLATE level, a compromise between size and processor time.
	compressionLevel = 3
	// maxUnpackedBytes is the maximum size of an uncompressed configuration in bytes.
	maxUnpackedBytes = 16 << 20
)

// ErrMalformed reports bytes that are not a result of Pack, or a text that is too large.
var ErrMalformed = eris.New("malformed packed text")

// Pack compresses a text.
func Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, compressionLevel)
	if err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack decompresses a text that Pack has compressed. Its errors wrap ErrMalformed.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if len(text) > maxUnpackedBytes {
		return nil, eris.Wrapf(ErrMalformed, "more than %d bytes", maxUnpackedBytes)
	}
	return text, nil
}
