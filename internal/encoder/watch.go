package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// ServerID identifies one backend server across its restarts.
type ServerID string

// Presence is the state of a registered backend server. Within one start of a server it only
// increases, except for PresenceLost.
type Presence uint8

// Presences.
const (
	// PresenceReady servers accept requests.
	PresenceReady Presence = iota
	// PresenceDraining servers are shutting down and must receive no new requests.
	PresenceDraining
	// PresenceGone servers have left, or another server has taken over their address.
	PresenceGone
	// PresenceLost servers sent no heartbeat for so long that the keeper has removed them. It
	// does not override the state that another keeper reports.
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
	// Born is the server's start time in milliseconds of Unix time, by its own clock. It
	// orders the starts under one ID and the servers that used the same address.
	Born int64 `msgpack:"b"`
	// Sequence orders the heartbeats of one start.
	Sequence uint64 `msgpack:"q,omitempty"`
	// Cold is the remaining time, as of sending, for which the server is slow after its start.
	Cold time.Duration `msgpack:"c,omitempty"`
	// Silent is true if the keeper has missed several heartbeats, or if another server has taken over
	// the address of one that had not left.
	Silent bool `msgpack:"n,omitempty"`
	// SilentFor is the time, as of sending, since the last heartbeat of a silent server. It is zero in
	// registrations of an older release.
	SilentFor time.Duration `msgpack:"f,omitempty"`
	// IsAnyStart is set in a departure that names no start. Born then covers the starts that are certainly
	// earlier than the departure, and keepers apply it to a later one that they have known for long enough.
	// A keeper of an older release applies it to the starts up to Born.
	IsAnyStart bool `msgpack:"y,omitempty"`
	// EndWindow is how long after its last heartbeat a silent server ended at the latest.
	EndWindow time.Duration `msgpack:"w,omitempty"`
}

// WatchRequest is a long poll for the changes since an earlier reply. The keeper answers at
// once if there are any, and otherwise when there is one or when Wait has passed.
type WatchRequest struct {
	// Keeper is the one of the reply that Seen refers to. A keeper that has another one since
	// replies with its complete directory.
	Keeper identifier.Incarnation
	// Seen is the number of the last directory change that the dock has applied.
	Seen uint64
	// Configuration is the number of the configuration in force at the dock.
	Configuration uint64
	// MembersDigest identifies the list of keepers that the dock has.
	MembersDigest uint64
	// VerdictsDigest identifies the list of slow servers that the dock has.
	VerdictsDigest uint64
	// Dock describes the sender. FellowsDigest identifies the list of docks in its failure
	// domain that it has.
	Dock          Dock
	FellowsDigest uint64
	// QuarantinesDigest identifies the list of quarantines that the dock has.
	QuarantinesDigest uint64
	// LimitsDigest identifies the list of limits of servers that the dock has. It is NoLimits for an
	// empty list, and zero for a dock of a release without limits.
	LimitsDigest uint64
	// IsDetached is set if the dock has lost its links to all backend servers. DetachVersion increases
	// with each change of it.
	IsDetached    bool   `msgpack:",omitempty"`
	DetachVersion uint64 `msgpack:",omitempty"`
	// KnowsEvacuations is set by a dock whose release knows evacuations. EvacuationVersion is the version
	// of the list that it has, or zero.
	KnowsEvacuations  bool   `msgpack:",omitempty"`
	EvacuationVersion uint64 `msgpack:",omitempty"`
	// AwaitsEvacuations is set by a dock that has not found out yet which failure domains are evacuated, if
	// the keeper's last reply was behind.
	AwaitsEvacuations bool `msgpack:",omitempty"`
	Wait              time.Duration
}

// NoLimits is the digest of an empty list of limits.
const NoLimits = 1

// WatchReply answers a WatchRequest.
type WatchReply struct {
	// Keeper changes whenever the numbers of the keeper's changes start anew.
	Keeper identifier.Incarnation
	Seen   uint64
	// IsWhole is true if Servers is the keeper's complete directory. Otherwise Servers lists
	// the changes after the request's Seen.
	IsWhole bool
	Servers []Registration
	// Configuration is the number of the committed configuration that the keeper applied.
	Configuration uint64
	// IsVoter reports whether the keeper counts toward a majority.
	IsVoter bool
	// Members lists the voters and, on the leader, the learners. It is empty if the request
	// has the same digest.
	Members       []KeeperMember
	MembersDigest uint64
	// Voters is the number of voters.
	Voters   int
	IsLeader bool
	// Verdicts lists, on the leader, the servers that most docks observe as slow. It is empty if
	// the request has the same digest.
	Verdicts       []SlowServer
	VerdictsDigest uint64
	// Docks is the number of docks that watch this keeper. Domains is the number of their
	// failure domains.
	Docks   int
	Domains int
	// Fellows lists, on the leader, the docks in the failure domain of the requesting dock. It
	// is empty if the request has the same digest.
	Fellows       []Dock
	FellowsDigest uint64
	// Quarantines lists the fingerprints that the keeper has quarantined, and with no remaining time
	// those that must run isolated. It is empty if the request has the same digest.
	Quarantines       []Quarantine
	QuarantinesDigest uint64
	// Limits lists, on the leader, the limits that servers name. It is empty if the request has the
	// same digest. LimitsDigest is zero if the keeper does not lead or the dock knows no limits.
	Limits       []ServerLimit `msgpack:",omitempty"`
	LimitsDigest uint64        `msgpack:",omitempty"`
	// TakesShort is set if the keeper takes a ShortWatchRequest.
	TakesShort bool `msgpack:",omitempty"`
	// Evacuated lists the failure domains that the keeper knows as evacuated. It is empty if the dock has
	// this version or a later one.
	Evacuated []identifier.DomainName `msgpack:",omitempty"`
	// EvacuationVersion is the version of the list. It is zero if no failure domain was ever evacuated.
	EvacuationVersion uint64 `msgpack:",omitempty"`
	// IsBehind is set if the keeper may not have applied yet what was committed before the reply, because
	// it has just started or has no leader.
	IsBehind bool `msgpack:",omitempty"`
}

// Observation summarizes one dock's requests to one server during an interval.
type Observation struct {
	Server ServerID `msgpack:"i"`
	// Count is the number of requests that ended. Slow is the number of those that took much
	// longer than usual or failed.
	Count int `msgpack:"n"`
	Slow  int `msgpack:"s,omitempty"`
	// Ratio is the sum of the slow requests' latencies, each in multiples of the usual latency.
	Ratio float64 `msgpack:"r,omitempty"`
}

// ObserveNotice carries a dock's observations to the leader.
type ObserveNotice struct {
	Observations []Observation
}

// CrashReport carries what a dock holds against requests to a keeper. It replaces the dock's earlier
// reports.
type CrashReport struct {
	Crashes []Crash `msgpack:",omitempty"`
	// Quarantines lists the quarantines that the dock knows of.
	Quarantines []Quarantine `msgpack:",omitempty"`
}

// CrashReportReply acknowledges a CrashReport.
type CrashReportReply struct{}

// Crash reports that a server terminated while it ran a request.
type Crash struct {
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Request is the caller's identifier.
	Request string `msgpack:"r"`
	// Server is the server that terminated, and Service its service. A dock of an older release sends no
	// service.
	Server  ServerID               `msgpack:"i,omitempty"`
	Service identifier.ServiceName `msgpack:"v,omitempty"`
	// IsRepeat is set if the request was sent to the server after the dock knew of an earlier crash
	// with the fingerprint.
	IsRepeat bool `msgpack:"p,omitempty"`
	// IsPartial is set if a server of another service has answered an equal request at the dock since it
	// was sent.
	IsPartial bool `msgpack:"l,omitempty"`
	// SentAgo and EndedAgo are the times, as of sending, since the request was sent to the server, and
	// since the server had ended at the latest. They are zero from a dock of an older release.
	SentAgo  time.Duration `msgpack:"s,omitempty"`
	EndedAgo time.Duration `msgpack:"e,omitempty"`
}

// SlowServer identifies a server that is slow.
type SlowServer struct {
	Server ServerID `msgpack:"i"`
	// Ratio is the server's latency in multiples of the usual latency.
	Ratio float64 `msgpack:"r"`
}

// FetchRequest requests the committed configuration that a keeper applied.
type FetchRequest struct{}

// ConfirmRequest requests the newest committed configuration from the leader.
type ConfirmRequest struct{}

// ConfirmReply answers a ConfirmRequest.
type ConfirmReply struct {
	// IsConfirmed is true if a quorum confirmed the leader after the request arrived.
	IsConfirmed bool
	Manifest    ManifestText
}

// DepartReply acknowledges the Registration of a server that shuts down.
type DepartReply struct{}
