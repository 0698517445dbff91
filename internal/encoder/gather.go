package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// Dock is a dock that other docks may ask for parts of scattered requests.
type Dock struct {
	Host    identifier.HostName   `msgpack:"h"`
	Address netip.AddrPort        `msgpack:"a"`
	Domain  identifier.DomainName `msgpack:"d"`
}

// GatherRequest asks the owner of some shards for their parts of a scattered request. Until a
// MoreRequest follows, the owner has the request run at most once for each shard, so that the
// sender of a request whose owner is silent may have it run once more.
type GatherRequest struct {
	// Query names the request in later MoreRequests of the same dock.
	Query uint64 `msgpack:"q"`
	// Request is the caller's identifier.
	Request       string                   `msgpack:"i"`
	Fingerprint   identifier.Fingerprint   `msgpack:"f"`
	Route         string                   `msgpack:"r"`
	Configuration uint64                   `msgpack:"c"`
	Method        string                   `msgpack:"m"`
	Head          []byte                   `msgpack:"h"`
	Body          []byte                   `msgpack:"b,omitempty"`
	Services      []identifier.ServiceName `msgpack:"s"`
	// Rows is the number of records that the reply needs to hold at most.
	Rows     int `msgpack:"k"`
	Attempts int `msgpack:"a"`
	// Remaining is the time until the caller gives up, Target that until the parts must be
	// back to be in time. Zero means that there is no such time.
	Remaining time.Duration `msgpack:"d"`
	Target    time.Duration `msgpack:"t,omitempty"`
	// Priority is the rank of the request. Zero is the highest.
	Priority int `msgpack:"p,omitempty"`
}

// MoreRequest asks for the parts that a reply to the same query did not hold yet. It allows the
// owner to have the request run more than once for a shard.
type MoreRequest struct {
	Query uint64 `msgpack:"q"`
}

// GatherReply holds the parts that are new since the last reply to the same query.
type GatherReply struct {
	Parts []GatherPart `msgpack:"p"`
	// Rows are the greatest records of these parts, greatest first.
	Rows []byte `msgpack:"r,omitempty"`
	// IsDone says that no more parts will come.
	IsDone bool `msgpack:"d,omitempty"`
}

// GatherPart tells what became of one shard.
type GatherPart struct {
	// Index is the shard's place in the request.
	Index int `msgpack:"i"`
	// Stamp is the backend server's signature of its part. It is empty if there is no part.
	Stamp string `msgpack:"s,omitempty"`
	// HasRun says that a server may have run the request.
	HasRun bool `msgpack:"u,omitempty"`
}
