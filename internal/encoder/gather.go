package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// Dock is a dock that can serve shards of a scattered request for other docks.
type Dock struct {
	Host    identifier.HostName   `msgpack:"h"`
	Address netip.AddrPort        `msgpack:"a"`
	Domain  identifier.DomainName `msgpack:"d"`
}

// GatherRequest requests the partial results of some shards of a scattered request from the
// dock that owns them. Until a MoreRequest follows, the owner runs the request at most once
// for each shard, so that the sender may retry it once if the owner does not reply.
type GatherRequest struct {
	// Query identifies the request in later MoreRequests of the same dock.
	Query uint64 `msgpack:"q"`
	// Request is the caller's identifier.
	Request     string                 `msgpack:"i"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// PathFingerprint is the fingerprint without the request's query.
	PathFingerprint identifier.Fingerprint   `msgpack:"pf,omitempty"`
	Route           string                   `msgpack:"r"`
	Configuration   uint64                   `msgpack:"c"`
	Method          string                   `msgpack:"m"`
	Head            []byte                   `msgpack:"h"`
	Body            []byte                   `msgpack:"b,omitempty"`
	Services        []identifier.ServiceName `msgpack:"s"`
	// Tokens holds the server of each shard for which the sender has a token, or an empty ID. It is
	// empty if there are none.
	Tokens []ServerID `msgpack:"o,omitempty"`
	// Rows is the maximum number of records that the reply needs to contain.
	Rows     int `msgpack:"k"`
	Attempts int `msgpack:"a"`
	// IsReplacement is set if the sender had delegated the request to another dock before, which may
	// have run it.
	IsReplacement bool `msgpack:"e,omitempty"`
	// Remaining is the time until the sender gives the request up. Target is the time within which the
	// parts are needed to meet the latency target. A Target of zero means that there is none.
	Remaining time.Duration `msgpack:"d"`
	Target    time.Duration `msgpack:"t,omitempty"`
	// Priority is the priority of the request. Zero is the highest.
	Priority int `msgpack:"p,omitempty"`
}

// MoreRequest requests the parts that earlier replies to the same query did not contain. It
// permits the owner to run the request more than once for a shard.
type MoreRequest struct {
	Query uint64 `msgpack:"q"`
}

// GatherReply contains the parts that completed since the last reply to the same query.
type GatherReply struct {
	Parts []GatherPart `msgpack:"p"`
	// Rows are the highest-ranked records of these parts, in descending order.
	Rows []byte `msgpack:"r,omitempty"`
	// IsDone is true if no more parts follow.
	IsDone bool `msgpack:"d,omitempty"`
}

// GatherPart is the outcome of one shard.
type GatherPart struct {
	// Index is the shard's position in the request.
	Index int `msgpack:"i"`
	// Stamp is the backend server's signature of its result. It is empty if there is none.
	Stamp string `msgpack:"s,omitempty"`
	// HasRun is true if a backend server may have run the request.
	HasRun bool `msgpack:"u,omitempty"`
	// IsUnknown is true if the dock knows no server of the shard, so that another dock may help.
	IsUnknown bool `msgpack:"k,omitempty"`
}
