package journaler

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/replicator"
)

// The snapshot file has the following fields in big-endian order, with sizes in bytes:
//
//	magic "BDSN" (4), version (4), header length (4), CRC-32C of the three fields before it
//	and the header (4), header in msgpack, state
//
// The header contains the state's size and xxhash checksum.
const (
	snapshotName     = "snapshot"
	snapshotMagic    = "BDSN"
	snapshotVersion  = 1
	snapshotHeadSize = 16
)

// encodeSnapshotHead encodes the part of a snapshot file before the state.
func encodeSnapshotHead(h replicator.SnapshotHeader) ([]byte, error) {
	header, err := encoder.Encode(h)
	if err != nil {
		return nil, err
	}
	b := make([]byte, 0, snapshotHeadSize+len(header))
	b = append(b, snapshotMagic...)
	b = binary.BigEndian.AppendUint32(b, snapshotVersion)
	b = binary.BigEndian.AppendUint32(b, uint32(len(header)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, header)
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, header...), nil
}

// decodeSnapshot checks the content of a snapshot file, including the state's checksum. It returns
// the header and the offset of the state, or a CorruptError or ErrVersion.
func decodeSnapshot(b []byte) (replicator.SnapshotHeader, int64, error) {
	var none replicator.SnapshotHeader
	if err := checkMagic(snapshotName, b, snapshotMagic, snapshotVersion); err != nil {
		return none, 0, err
	}
	if len(b) < snapshotHeadSize {
		return none, 0, &CorruptError{File: snapshotName, Offset: int64(len(b)), Reason: "truncated before the header"}
	}
	length := int64(binary.BigEndian.Uint32(b[8:]))
	start := snapshotHeadSize + length
	if start > int64(len(b)) {
		return none, 0, &CorruptError{File: snapshotName, Offset: 8, Reason: "truncated header"}
	}
	header := b[snapshotHeadSize:start]
	sum := crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, header)
	if sum != binary.BigEndian.Uint32(b[12:]) {
		return none, 0, &CorruptError{File: snapshotName, Offset: snapshotHeadSize, Reason: "header checksum mismatch"}
	}
	h, err := encoder.Decode[replicator.SnapshotHeader](header)
	if err != nil {
		return none, 0, &CorruptError{File: snapshotName, Offset: snapshotHeadSize, Reason: err.Error()}
	}
	state := b[start:]
	if int64(len(state)) != h.Size || xxhash.Sum64(state) != h.Checksum {
		return none, 0, &CorruptError{File: snapshotName, Offset: start, Reason: "state size or checksum mismatch"}
	}
	return h, start, nil
}
