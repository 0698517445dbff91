package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// ServerID names one backend server across its restarts.
type ServerID string

// Presence says whether a registered backend server takes work. Within one start of a
// server it only grows, but for PresenceLost.
type Presence uint8

// Presences.
const (
	// PresenceReady servers take work.
	PresenceReady Presence = iota
	// PresenceDraining servers are leaving and must receive no new work.
	PresenceDraining
	// PresenceGone servers have left, or another server has their address.
	PresenceGone
	// PresenceLost servers were silent for so long that the keeper has forgotten them. It
	// says nothing against another keeper's word.
	PresenceLost
)

// Registration describes one start of a backend server of an opaque service.
type Registration struct {
	ID      ServerID               `msgpack:"i"`
	Service identifier.ServiceName `msgpack:"v,omitempty"`
	Address netip.AddrPort         `msgpack:"a"`
	Domain  identifier.DomainName  `msgpack:"d,omitempty"`
	Slots   int                    `msgpack:"l,omitempty"`
	State   Presence               `msgpack:"s,omitempty"`
	// Born is when the server started, in milliseconds of Unix time by its own clock. It
	// orders the starts under one ID and the servers that had one address.
	Born int64 `msgpack:"b"`
	// Sequence orders the heartbeats of one start.
	Sequence uint64 `msgpack:"q,omitempty"`
	// Cold is how much longer the server is slow after its start, as of the sending.
	Cold time.Duration `msgpack:"c,omitempty"`
	// Silent says that the keeper has missed several heartbeats.
	Silent bool `msgpack:"n,omitempty"`
}

// WatchRequest asks a keeper for what changed since an earlier reply. The keeper answers at
// once if anything has, and else when something does or Wait has passed.
type WatchRequest struct {
	// Keeper is the process that Seen belongs to. Another process answers with everything.
	Keeper identifier.Incarnation
	// Seen is the last change of the directory that the dock took in.
	Seen uint64
	// Configuration is the number that the dock has in force.
	Configuration uint64
	// MembersDigest identifies the list of keepers that the dock knows.
	MembersDigest uint64
	// VerdictsDigest identifies the verdicts that the dock knows.
	VerdictsDigest uint64
	// Dock describes the sender, and FellowsDigest identifies the docks that it knows.
	Dock          Dock
	FellowsDigest uint64
	// QuarantinesDigest identifies the quarantines that the dock knows.
	QuarantinesDigest uint64
	Wait              time.Duration
}

// WatchReply answers a WatchRequest.
type WatchReply struct {
	Keeper identifier.Incarnation
	Seen   uint64
	// IsWhole says that Servers is the keeper's whole directory.
	IsWhole bool
	Servers []Registration
	// Configuration is the number of the committed configuration that the keeper applied.
	Configuration uint64
	// IsVoter says whether the keeper counts toward a majority.
	IsVoter bool
	// Members are the voters and, on the leader, those that it teaches. The list is empty
	// if its digest is the one that the dock knows.
	Members       []KeeperMember
	MembersDigest uint64
	// Voters is the number of voters.
	Voters   int
	IsLeader bool
	// Verdicts are, on the leader, the servers that most docks find slow. The list is left out
	// if its digest is the one that the dock knows.
	Verdicts       []SlowServer
	VerdictsDigest uint64
	// Docks is the number of docks that watch this keeper, and Domains that of their failure
	// domains.
	Docks   int
	Domains int
	// Fellows are, on the leader, the docks in the failure domain of the dock that asks. The list
	// is left out if its digest is the one that the dock knows.
	Fellows       []Dock
	FellowsDigest uint64
	// Quarantines are, on the leader, the requests that must not run. The list is left out if its
	// digest is the one that the dock knows.
	Quarantines       []Quarantine
	QuarantinesDigest uint64
}

// Observation sums up what one dock saw of one server in an interval.
type Observation struct {
	Server ServerID `msgpack:"i"`
	// Count is the number of requests that ended, and Slow that of those which took much
	// longer than usual or failed.
	Count int `msgpack:"n"`
	Slow  int `msgpack:"s,omitempty"`
	// Ratio is the sum of the slow ones' latencies in multiples of the usual.
	Ratio float64 `msgpack:"r,omitempty"`
}

// ObserveNotice carries a dock's observations to the leader.
type ObserveNotice struct {
	Observations []Observation
	Crashes      []Crash `msgpack:",omitempty"`
	// Innocent are fingerprints that were told as Crashes and were answered since.
	Innocent []identifier.Fingerprint `msgpack:",omitempty"`
}

// IsEmpty tells whether there is nothing to tell.
func (n ObserveNotice) IsEmpty() bool {
	return len(n.Observations) == 0 && len(n.Crashes) == 0 && len(n.Innocent) == 0
}

// Crash says that a server ended while it ran a request.
type Crash struct {
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Request is the caller's identifier.
	Request string `msgpack:"r"`
}

// SlowServer says that a server is slow.
type SlowServer struct {
	Server ServerID `msgpack:"i"`
	// Ratio is the server's latency in multiples of the usual.
	Ratio float64 `msgpack:"r"`
}

// FetchRequest asks a keeper for the committed configuration that it applied.
type FetchRequest struct{}

// ConfirmRequest asks the leader for the newest committed configuration.
type ConfirmRequest struct{}

// ConfirmReply answers a ConfirmRequest.
type ConfirmReply struct {
	// IsConfirmed says that a quorum confirmed the leader after the request arrived.
	IsConfirmed bool
	Manifest    ManifestText
}

// DepartReply answers a Registration that ends.
type DepartReply struct{}
