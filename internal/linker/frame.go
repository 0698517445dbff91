package linker

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
)

// frameType determines how a frame is handled.
type frameType uint8

const (
	// frameHello carries the handshake message and is the first frame in each direction.
	frameHello frameType = iota + 1
	// frameRequest carries a message that expects a reply.
	frameRequest
	// frameReply carries the answer to a request.
	frameReply
	// frameError carries the error text of a failed request.
	frameError
	// frameOneWay carries a message that expects no reply.
	frameOneWay
	// frameCancel cancels a request whose reply is no longer needed.
	frameCancel
	// frameHeartbeat shows that the sender is alive. It may carry a stamp of its logical clock.
	frameHeartbeat
	// frameProbe requests an immediate frameEcho from the peer.
	frameProbe
	// frameEcho answers a frameProbe.
	frameEcho
)

const (
	// MaxFrameBytes is the maximum size of a frame's payload in bytes, in both directions.
	MaxFrameBytes = 16 << 20
	// headerBytes is the size in bytes of the length, type, kind and identifier.
	headerBytes = 4 + 1 + 2 + 8
	// stampBytes is the size in bytes of the stamp in a heartbeat's payload.
	stampBytes = 8
)

// frame is the unit of transfer on a link. It is encoded as the payload's length in 4 bytes,
// the type in 1, the kind in 2 and the identifier in 8, all big-endian, followed by the payload.
type frame struct {
	kind    encoder.Kind
	typ     frameType
	id      uint64
	payload []byte
}

// readFrame reads one frame. Its memory use is limited by the bytes that the sender has sent.
func readFrame(r *bufio.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, eris.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[0:4])
	if size > MaxFrameBytes {
		return frame{}, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	f := frame{
		typ:  frameType(header[4]),
		kind: encoder.Kind(binary.BigEndian.Uint16(header[5:7])),
		id:   binary.BigEndian.Uint64(header[7:15]),
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return frame{}, err
	}
	f.payload = payload
	return f, nil
}

// readPayload reads a payload of the given size. It grows its buffer as bytes arrive, so that
// a header alone cannot make the reader allocate MaxFrameBytes.
func readPayload(r *bufio.Reader, size int) ([]byte, error) {
	const step = 64 << 10
	payload := make([]byte, 0, min(size, step))
	for len(payload) < size {
		n := min(size-len(payload), step)
		start := len(payload)
		payload = append(payload, make([]byte, n)...)
		if _, err := io.ReadFull(r, payload[start:]); err != nil {
			return nil, eris.Wrap(err, "read frame payload")
		}
	}
	return payload, nil
}

// writeFrame appends one frame to the writer's buffer.
func writeFrame(w *bufio.Writer, f frame) error {
	if len(f.payload) > MaxFrameBytes {
		return eris.Wrapf(ErrFrameTooLarge, "%d bytes", len(f.payload))
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[0:4], uint32(len(f.payload)))
	header[4] = byte(f.typ)
	binary.BigEndian.PutUint16(header[5:7], uint16(f.kind))
	binary.BigEndian.PutUint64(header[7:15], f.id)
	if _, err := w.Write(header[:]); err != nil {
		return eris.Wrap(err, "write frame header")
	}
	if _, err := w.Write(f.payload); err != nil {
		return eris.Wrap(err, "write frame payload")
	}
	return nil
}
