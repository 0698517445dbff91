package journaler

import (
	"encoding/binary"
	"hash/crc32"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

// The state file has the following fields in big-endian order, with sizes in bytes:
//
//	magic "BDST" (4), version (4), incarnation (8), group (8), term (8), vote (8),
//	flags (1), CRC-32C of all fields before it (4)
const (
	stateName    = "state"
	stateMagic   = "BDST"
	stateVersion = 1
	stateSize    = 45

	flagGroupSeen  = 1
	flagRemoved    = 2
	flagFirstStart = 4
)

// flag returns bit if isSet is true, and else zero.
func flag(isSet bool, bit byte) byte {
	if isSet {
		return bit
	}
	return 0
}

// castagnoli is the CRC-32C table of all checksums except those of the snapshots' states, which
// are xxhash.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeState encodes the content of the state file.
func encodeState(s replicator.HardState) []byte {
	b := make([]byte, 0, stateSize)
	b = append(b, stateMagic...)
	b = binary.BigEndian.AppendUint32(b, stateVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Self))
	b = binary.BigEndian.AppendUint64(b, uint64(s.Group))
	b = binary.BigEndian.AppendUint64(b, s.Term)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Vote))
	b = append(b, flag(s.GroupSeen, flagGroupSeen)|flag(s.Removed, flagRemoved)|flag(s.FirstStart, flagFirstStart))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeState decodes the content of the state file. It returns a CorruptError for damaged content
// and ErrVersion for an unknown version.
func decodeState(b []byte) (replicator.HardState, error) {
	if err := checkMagic(stateName, b, stateMagic, stateVersion); err != nil {
		return replicator.HardState{}, err
	}
	if len(b) != stateSize {
		return replicator.HardState{}, &CorruptError{File: stateName, Offset: int64(len(b)), Reason: "wrong size"}
	}
	body := b[:stateSize-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[stateSize-4:]) {
		return replicator.HardState{}, &CorruptError{File: stateName, Reason: "checksum"}
	}
	s := replicator.HardState{
		Self:       identifier.Incarnation(binary.BigEndian.Uint64(b[8:])),
		Group:      identifier.Incarnation(binary.BigEndian.Uint64(b[16:])),
		Term:       binary.BigEndian.Uint64(b[24:]),
		Vote:       identifier.Incarnation(binary.BigEndian.Uint64(b[32:])),
		GroupSeen:  b[40]&flagGroupSeen != 0,
		Removed:    b[40]&flagRemoved != 0,
		FirstStart: b[40]&flagFirstStart != 0,
	}
	if s.Self == 0 {
		return replicator.HardState{}, &CorruptError{File: stateName, Offset: 8, Reason: "incarnation is zero"}
	}
	return s, nil
}
