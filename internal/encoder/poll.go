package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// PollRequest is sent by a dock to every voter several times per second. Polls dominate a
// dock's control traffic. Their encoded field names are therefore short, and fields that have
// not changed since the last acknowledged poll are omitted.
type PollRequest struct {
	// Sequence numbers the polls of one incarnation of a dock. A keeper ignores the contents
	// of a poll that is older than the newest one received.
	Sequence uint64 `msgpack:"q,omitempty"`
	// KnownVoters is the VotersDigest of the voters that the dock has.
	KnownVoters uint64 `msgpack:"v,omitempty"`
	// KnownManifest is the number of the newest committed manifest that the dock holds.
	KnownManifest uint64 `msgpack:"m,omitempty"`
	// KnownEpoch is the newest view that the dock holds. It is sent to the leader only.
	KnownEpoch identifier.Epoch `msgpack:"e,omitempty"`
	// KnownQuarantine is the version of the quarantine list that the dock holds. It is
	// sent to the leader only.
	KnownQuarantine uint64 `msgpack:"k,omitempty"`
	// Host describes the dock. It is sent to the leader only, if the leader may not have it.
	Host *Host `msgpack:"h,omitempty"`
	// Announcements lists the servers whose announcement is new or changed. It is sent to the
	// leader only.
	Announcements []Announcement `msgpack:"a,omitempty"`
	// Heard lists the servers that repeated an unchanged announcement. It is sent to the
	// leader only.
	Heard []AnnouncementAge `msgpack:"r,omitempty"`
	// Quarantined lists the fingerprints that the dock holds as quarantined. It is sent to a
	// new leader.
	Quarantined []Quarantine `msgpack:"c,omitempty"`
	// View is the dock's view. It is set if the leader requested it with SendView.
	View *View `msgpack:"w,omitempty"`
}

// Announcement is a server's announcement and its age.
type Announcement struct {
	Server Server        `msgpack:"s"`
	Age    time.Duration `msgpack:"a,omitempty"`
}

// AnnouncementAge is the time since a server last repeated its announcement.
type AnnouncementAge struct {
	Address netip.AddrPort `msgpack:"s"`
	// AgeMillis is in milliseconds to keep it short, because a poll carries one for each
	// server.
	AgeMillis uint32 `msgpack:"a,omitempty"`
}

// ManifestText is a committed manifest as it was submitted.
type ManifestText struct {
	Number uint64
	// Digest is the SHA-256 of Text in lower-case hexadecimal.
	Digest string
	Text   []byte
}

// PollReply is the part of a keeper's state that a dock needs.
type PollReply struct {
	Keeper      identifier.HostName    `msgpack:"n"`
	Incarnation identifier.Incarnation `msgpack:"i,omitempty"`
	// Voter reports whether this keeper counts toward a majority.
	Voter bool `msgpack:"o,omitempty"`
	// VotersDigest identifies the list of voters in this keeper's log.
	VotersDigest uint64 `msgpack:"v,omitempty"`
	// Voters lists the voters in this keeper's log, committed or not. It is set if the dock's
	// KnownVoters differs from VotersDigest.
	Voters []KeeperMember `msgpack:"s,omitempty"`
	// Outgoing lists the former voters until a membership change is complete. It is set
	// together with Voters.
	Outgoing     []KeeperMember `msgpack:"u,omitempty"`
	Term         uint64         `msgpack:"t,omitempty"`
	LastLogTerm  uint64         `msgpack:"y,omitempty"`
	LastLogIndex uint64         `msgpack:"x,omitempty"`
	CommitIndex  uint64         `msgpack:"c,omitempty"`
	// Leader is the name of the leader that this keeper follows. It is empty if there is none.
	Leader identifier.HostName `msgpack:"l,omitempty"`
	// ManifestNumber is the newest committed manifest's number. Zero means none.
	ManifestNumber uint64 `msgpack:"m,omitempty"`
	// PendingManifest is the highest manifest number in the log beyond CommitIndex. Zero
	// means none.
	PendingManifest uint64 `msgpack:"p,omitempty"`
	// Manifest is set if the dock's manifest is older than the committed one.
	Manifest *ManifestText `msgpack:"f,omitempty"`
	// View is set by a leader whose view is settled, if the dock's view is older.
	View *ViewDelta `msgpack:"w,omitempty"`
	// LeaderReady is true if the reply comes from a leader whose view is settled.
	LeaderReady bool `msgpack:"r,omitempty"`
	// Resend requests that the dock sends everything that it sends to a new leader.
	Resend bool `msgpack:"a,omitempty"`
	// SendView requests that the dock sends its view with the next poll.
	SendView bool `msgpack:"b,omitempty"`
	// Quarantine is the list of fingerprints that no dock may run. A leader sets it if the
	// dock has a different version of the list.
	Quarantine *QuarantineList `msgpack:"k,omitempty"`
}

// QuarantineList is one version of the leader's list of quarantined fingerprints.
type QuarantineList struct {
	Version     uint64       `msgpack:"v"`
	Quarantined []Quarantine `msgpack:"q,omitempty"`
}

// Quarantine is a fingerprint that is quarantined because it crashed too many backend servers.
type Quarantine struct {
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	Remaining   time.Duration          `msgpack:"r"`
	// Service is the service whose servers a request with no remaining time is suspected to crash. It is
	// empty if that is not known.
	Service identifier.ServiceName `msgpack:"v,omitempty"`
}

// KeeperMember identifies a keeper and gives its address.
type KeeperMember struct {
	Name        identifier.HostName    `msgpack:"n"`
	Address     netip.AddrPort         `msgpack:"a"`
	Incarnation identifier.Incarnation `msgpack:"i,omitempty"`
}
