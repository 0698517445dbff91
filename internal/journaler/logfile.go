package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"banyandock.example/banyandock/internal/replicator"
)

// The log file starts with a header of the following fields in big-endian order, with sizes in
// bytes:
//
//	magic "BDLG" (4), version (4), salt (8), base index (8), base term (8), CRC-32C (4)
//
// Frames follow, one for each sync:
//
//	magic (4), payload length (4), CRC-32C of the payload (4), CRC-32C of the salt, the
//	offset of the frame and its first twelve bytes (4), payload
//
// A payload is a sequence of entries: index (8), term (8), kind (1), data length (4), data. An
// entry whose index is not above the last one replaces the entries from that index on. The salt
// and the offset in the checksum distinguish frames from command data that looks like a frame.
const (
	logName        = "log"
	logMagic       = "BDLG"
	logVersion     = 1
	logHeaderSize  = 36
	frameMagic     = 0xB4DF4A3E
	frameHeadSize  = 16
	entryHeadSize  = 21
	maxFrameLength = 1 << 31
)

// logHeader is the variable part of a log file's header. The entries follow base.
type logHeader struct {
	salt uint64
	base replicator.Position
}

// encode encodes the header.
func (h logHeader) encode() []byte {
	b := make([]byte, 0, logHeaderSize)
	b = append(b, logMagic...)
	b = binary.BigEndian.AppendUint32(b, logVersion)
	b = binary.BigEndian.AppendUint64(b, h.salt)
	b = binary.BigEndian.AppendUint64(b, h.base.Index)
	b = binary.BigEndian.AppendUint64(b, h.base.Term)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeLogHeader decodes the header of a log file. It returns a CorruptError for a damaged header
// and ErrVersion for an unknown version.
func decodeLogHeader(b []byte) (logHeader, error) {
	if err := checkMagic(logName, b, logMagic, logVersion); err != nil {
		return logHeader{}, err
	}
	if len(b) < logHeaderSize {
		return logHeader{}, &CorruptError{File: logName, Offset: int64(len(b)), Reason: "truncated header"}
	}
	end := logHeaderSize - 4
	if crc32.Checksum(b[:end], castagnoli) != binary.BigEndian.Uint32(b[end:]) {
		return logHeader{}, &CorruptError{File: logName, Reason: "header checksum mismatch"}
	}
	return logHeader{
		salt: binary.BigEndian.Uint64(b[8:]),
		base: replicator.Position{Index: binary.BigEndian.Uint64(b[16:]), Term: binary.BigEndian.Uint64(b[24:])},
	}, nil
}

// headChecksum returns the checksum of the head of a frame at an offset.
func (h logHeader) headChecksum(offset int64, head []byte) uint32 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], h.salt)
	binary.BigEndian.PutUint64(b[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, b[:])
	return crc32.Update(sum, castagnoli, head[:12])
}

// frame encodes entries as one frame that must be written at an offset.
func (h logHeader) frame(offset int64, entries []replicator.Entry) []byte {
	size := frameHeadSize
	for _, e := range entries {
		size += entryHeadSize + len(e.Data)
	}
	b := make([]byte, frameHeadSize, size)
	for _, e := range entries {
		b = binary.BigEndian.AppendUint64(b, e.Index)
		b = binary.BigEndian.AppendUint64(b, e.Term)
		b = append(b, byte(e.Kind))
		b = binary.BigEndian.AppendUint32(b, uint32(len(e.Data)))
		b = append(b, e.Data...)
	}
	payload := b[frameHeadSize:]
	binary.BigEndian.PutUint32(b, frameMagic)
	binary.BigEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(b[12:], h.headChecksum(offset, b))
	return b
}

// hasFrameHead reports whether there is a valid frame head at an offset.
func (h logHeader) hasFrameHead(b []byte, offset int64) bool {
	if offset+frameHeadSize > int64(len(b)) {
		return false
	}
	head := b[offset : offset+frameHeadSize]
	if binary.BigEndian.Uint32(head) != frameMagic {
		return false
	}
	return binary.BigEndian.Uint32(head[12:]) == h.headChecksum(offset, head)
}

// payload returns the payload of the frame at an offset. It returns false if the frame is
// incomplete or damaged.
func (h logHeader) payload(b []byte, offset int64) ([]byte, bool) {
	if !h.hasFrameHead(b, offset) {
		return nil, false
	}
	length := int64(binary.BigEndian.Uint32(b[offset+4:]))
	start := offset + frameHeadSize
	if start+length > int64(len(b)) {
		return nil, false
	}
	p := b[start : start+length]
	return p, crc32.Checksum(p, castagnoli) == binary.BigEndian.Uint32(b[offset+8:])
}

// logContent is the decoded content of a log file.
type logContent struct {
	header  logHeader
	entries []replicator.Entry
	// size is the length in bytes of the header and the valid frames. The bytes after it were
	// never synced.
	size int64
}

// last returns the position of the last entry, or the base if there are no entries.
func (l logContent) last() replicator.Position {
	if len(l.entries) == 0 {
		return l.header.base
	}
	e := l.entries[len(l.entries)-1]
	return replicator.Position{Index: e.Index, Term: e.Term}
}

// decodeLog decodes the content of a log file. A damaged frame at the end is omitted, because a
// crash can truncate the last write. A damaged frame before a valid one is a CorruptError.
func decodeLog(b []byte) (logContent, error) {
	h, err := decodeLogHeader(b)
	if err != nil {
		return logContent{}, err
	}
	l := logContent{header: h, size: logHeaderSize}
	for l.size < int64(len(b)) {
		p, ok := h.payload(b, l.size)
		if !ok {
			return l, h.checkTail(b, l.size)
		}
		if err := l.addPayload(p); err != nil {
			return l, err
		}
		l.size += frameHeadSize + int64(len(p))
	}
	return l, nil
}

// checkTail returns a CorruptError if a valid frame head follows the damaged frame at an offset.
func (h logHeader) checkTail(b []byte, offset int64) error {
	for later := offset + 1; later < int64(len(b)); later++ {
		if h.hasFrameHead(b, later) {
			reason := fmt.Sprintf("damaged frame before a valid frame at offset %d", later)
			return &CorruptError{File: logName, Offset: offset, Reason: reason}
		}
	}
	return nil
}

// addPayload decodes the entries of a frame's payload and adds them.
func (l *logContent) addPayload(p []byte) error {
	for len(p) > 0 {
		if len(p) < entryHeadSize {
			return l.corrupt("truncated entry")
		}
		e := replicator.Entry{
			Index: binary.BigEndian.Uint64(p),
			Term:  binary.BigEndian.Uint64(p[8:]),
			Kind:  replicator.EntryKind(p[16]),
		}
		length := int(binary.BigEndian.Uint32(p[17:]))
		p = p[entryHeadSize:]
		if length > len(p) {
			return l.corrupt("truncated entry data")
		}
		// The data is copied so that the buffer of the whole file can be freed.
		e.Data = bytes.Clone(p[:length])
		p = p[length:]
		if err := l.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// addEntry appends an entry, or replaces the entries from its index on. It returns a CorruptError
// for a gap before the index or a falling term.
func (l *logContent) addEntry(e replicator.Entry) error {
	if e.Index <= l.header.base.Index || e.Index > l.last().Index+1 {
		return l.corrupt(fmt.Sprintf("index %d follows index %d", e.Index, l.last().Index))
	}
	l.entries = l.entries[:e.Index-l.header.base.Index-1]
	if e.Term < l.last().Term {
		return l.corrupt(fmt.Sprintf("term %d follows term %d", e.Term, l.last().Term))
	}
	l.entries = append(l.entries, e)
	return nil
}

// corrupt returns a CorruptError for the frame that starts at size.
func (l *logContent) corrupt(reason string) error {
	return &CorruptError{File: logName, Offset: l.size, Reason: reason}
}
