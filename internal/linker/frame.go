package linker

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/reserver"
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
	// smallFrameBytes is the memory of the frames that are not accounted for.
	smallFrameBytes = 16 << 10
	// decodeCopies is how often a received payload is in memory while it is decoded.
	decodeCopies = 2
)

// frame is the unit of transfer on a link. It is encoded as the payload's length in 4 bytes,
// the type in 1, the kind in 2 and the identifier in 8, all big-endian, followed by the payload.
type frame struct {
	kind    encoder.Kind
	typ     frameType
	id      uint64
	payload []byte
	// tail is sent after the payload, as a part of it. It is empty in a received frame.
	tail []byte
	// hold accounts for the memory of the frame. It is nil for a small frame.
	hold *reserver.Hold
	// isDropped is set in a received frame whose payload found no room.
	isDropped bool
}

// size returns the length of the payload in bytes.
func (f frame) size() int { return len(f.payload) + len(f.tail) }

// use returns what the memory of the frame is for.
func (f frame) use() reserver.Use {
	if f.typ == frameReply {
		return reserver.Answer
	}
	return reserver.Request
}

// readFrame reads one frame. Its memory use is limited by the bytes that the sender has sent, and reserved in the account.
// A payload for which there is no room is skipped.
func readFrame(r *bufio.Reader, account *reserver.Account) (frame, error) {
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
	if !f.reserveMemory(account, decodeCopies*int64(size)) {
		f.isDropped = true
		_, err := io.CopyN(io.Discard, r, int64(size))
		return f, eris.Wrap(err, "skip frame payload")
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		f.hold.Close()
		return frame{}, err
	}
	f.payload = payload
	return f, nil
}

// reserveMemory reserves the memory of a frame and reports whether there is room. Frames of less than smallFrameBytes
// always have room.
func (f *frame) reserveMemory(account *reserver.Account, bytes int64) bool {
	if account == nil || bytes < smallFrameBytes {
		return true
	}
	hold := account.Open(netip.AddrPort{}, func() {})
	if !hold.TryReserve(bytes, f.use()) {
		hold.Close()
		return false
	}
	f.hold = hold
	return true
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
	if f.size() > MaxFrameBytes {
		return eris.Wrapf(ErrFrameTooLarge, "%d bytes", f.size())
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[0:4], uint32(f.size()))
	header[4] = byte(f.typ)
	binary.BigEndian.PutUint16(header[5:7], uint16(f.kind))
	binary.BigEndian.PutUint64(header[7:15], f.id)
	if _, err := w.Write(header[:]); err != nil {
		return eris.Wrap(err, "write frame header")
	}
	if _, err := w.Write(f.payload); err != nil {
		return eris.Wrap(err, "write frame payload")
	}
	if _, err := w.Write(f.tail); err != nil {
		return eris.Wrap(err, "write frame payload")
	}
	return nil
}
