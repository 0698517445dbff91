package encoder

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// ShortWatchRequest is a WatchRequest with short names. Watches without news are most of the bytes between
// docks and keepers, and names were most of a watch. A dock sends it to keepers that take it. The fields
// must be those of WatchRequest, in the same order, so that one can be converted to the other.
type ShortWatchRequest struct {
	Keeper            identifier.Incarnation `msgpack:"k,omitempty"`
	Seen              uint64                 `msgpack:"s,omitempty"`
	Configuration     uint64                 `msgpack:"c,omitempty"`
	MembersDigest     uint64                 `msgpack:"m,omitempty"`
	VerdictsDigest    uint64                 `msgpack:"v,omitempty"`
	Dock              Dock                   `msgpack:"d"`
	FellowsDigest     uint64                 `msgpack:"f,omitempty"`
	QuarantinesDigest uint64                 `msgpack:"q,omitempty"`
	LimitsDigest      uint64                 `msgpack:"l,omitempty"`
	IsDetached        bool                   `msgpack:"t,omitempty"`
	DetachVersion     uint64                 `msgpack:"n,omitempty"`
	KnowsEvacuations  bool                   `msgpack:"e,omitempty"`
	EvacuationVersion uint64                 `msgpack:"x,omitempty"`
	AwaitsEvacuations bool                   `msgpack:"a,omitempty"`
	Wait              time.Duration          `msgpack:"w,omitempty"`
}

// ShortWatchReply is a WatchReply with short names. The fields must be those of WatchReply, in the same
// order.
type ShortWatchReply struct {
	Keeper            identifier.Incarnation `msgpack:"k,omitempty"`
	Seen              uint64                 `msgpack:"s,omitempty"`
	IsWhole           bool                   `msgpack:"w,omitempty"`
	Servers           []Registration         `msgpack:"r,omitempty"`
	Configuration     uint64                 `msgpack:"c,omitempty"`
	IsVoter           bool                   `msgpack:"o,omitempty"`
	Members           []KeeperMember         `msgpack:"e,omitempty"`
	MembersDigest     uint64                 `msgpack:"m,omitempty"`
	Voters            int                    `msgpack:"n,omitempty"`
	IsLeader          bool                   `msgpack:"a,omitempty"`
	Verdicts          []SlowServer           `msgpack:"u,omitempty"`
	VerdictsDigest    uint64                 `msgpack:"v,omitempty"`
	Docks             int                    `msgpack:"d,omitempty"`
	Domains           int                    `msgpack:"z,omitempty"`
	Fellows           []Dock                 `msgpack:"h,omitempty"`
	FellowsDigest     uint64                 `msgpack:"f,omitempty"`
	Quarantines       []Quarantine           `msgpack:"j,omitempty"`
	QuarantinesDigest uint64                 `msgpack:"q,omitempty"`
	Limits            []ServerLimit          `msgpack:"i,omitempty"`
	LimitsDigest      uint64                 `msgpack:"l,omitempty"`
	TakesShort        bool                   `msgpack:"-"`

	Evacuated         []identifier.DomainName `msgpack:"p,omitempty"`
	EvacuationVersion uint64                  `msgpack:"x,omitempty"`
	IsBehind          bool                    `msgpack:"b,omitempty"`
}
