// Package packer compresses configurations. Their routes repeat the names of many services,
// and each change goes to every keeper and every dock.
package packer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// level trades size against processor time.
	level = 3
	// maxUnpacked bounds a configuration, in bytes.
	maxUnpacked = 16 << 20
)

// ErrMalformed reports bytes that Pack did not make, or a text that is too large.
var ErrMalformed = eris.New("malformed packed text")

// Pack compresses a text.
func Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, level)
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

// Unpack returns a text that was packed. Its errors wrap ErrMalformed.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if len(text) > maxUnpacked {
		return nil, eris.Wrapf(ErrMalformed, "more than %d bytes", maxUnpacked)
	}
	return text, nil
}
