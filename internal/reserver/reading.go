package reserver

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// firstBytes is the size of the buffer of a body of unknown length. The buffer doubles when it is full.
const firstBytes = 4 << 10

// ErrTooLarge reports a body above its limit.
var ErrTooLarge = eris.New("the body is too large")

// ReadAll reads a body of at most limit bytes and reserves its memory before. length is the body's length, or negative
// if it is not known. A nil Hold reserves nothing. If the Hold was forked, ReadAll returns ErrUnneeded and keeps nothing
// once the request has ended.
func (h *Hold) ReadAll(ctx context.Context, body io.Reader, length, limit int64, use Use) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := length
	if length < 0 {
		size = min(firstBytes, limit)
	}
	if err := h.Reserve(ctx, size, use); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	// next takes the byte that shows that a full buffer must grow.
	next := make([]byte, 1)
	for {
		space := buffer[len(buffer):cap(buffer)]
		if len(space) == 0 {
			space = next
		}
		n, err := body.Read(space)
		if h.isUnneeded() {
			return nil, ErrUnneeded
		}
		if n > 0 && len(buffer) == cap(buffer) {
			var growErr error
			if buffer, growErr = h.grow(ctx, buffer, limit, use); growErr != nil {
				return nil, growErr
			}
			buffer = append(buffer, next[0])
		} else {
			buffer = buffer[:len(buffer)+n]
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow doubles a buffer that is full. Both buffers are reserved while bytes are copied.
func (h *Hold) grow(ctx context.Context, full []byte, limit int64, use Use) ([]byte, error) {
	before := int64(len(full))
	if before >= limit {
		return nil, ErrTooLarge
	}
	size := min(max(2*before, firstBytes), limit)
	if err := h.Reserve(ctx, size, use); err != nil {
		return nil, err
	}
	larger := make([]byte, len(full), size)
	copy(larger, full)
	h.Release(before, use)
	return larger, nil
}
