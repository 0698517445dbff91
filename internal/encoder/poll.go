package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// PollRequest is what a dock sends to every voter several times a second. Polls dominate
// a dock's control traffic: their field names are short, and what has not changed since
// the last acknowledged poll is left out.
type PollRequest struct {
	// Sequence numbers the polls of one incarnation of a dock. A keeper ignores what an
	// older poll reports.
	Sequence uint64 `msgpack:"q,omitempty"`
	// KnownVoters is the VotersDigest of the voters that the dock knows.
	KnownVoters uint64 `msgpack:"v,omitempty"`
	// KnownManifest is the number of the newest committed manifest that the dock holds.
	KnownManifest uint64 `msgpack:"m,omitempty"`
	// KnownEpoch is the newest view that the dock holds. It is sent to the leader only.
	KnownEpoch identifier.Epoch `msgpack:"e,omitempty"`
	// KnownQuarantine is the version of the quarantine list that the dock holds. It is
	// sent to the leader only.
	KnownQuarantine uint64 `msgpack:"k,omitempty"`
	// Host describes the dock. It is sent to the leader only, when the leader may not
	// know it.
	Host *Host `msgpack:"h,omitempty"`
	// Announcements are servers whose announcement is new or changed. They are sent to
	// the leader only.
	Announcements []Announcement `msgpack:"a,omitempty"`
	// Heard are servers that repeated an unchanged announcement. They are sent to the
	// leader only.
	Heard []AnnouncementAge `msgpack:"r,omitempty"`
	// Quarantined are the fingerprints that the dock knows as quarantined. They are sent
	// to a new leader.
	Quarantined []Quarantine `msgpack:"c,omitempty"`
	// View is the dock's view, if the leader asked for it.
	View *View `msgpack:"w,omitempty"`
}

// Announcement is what a server announced of itself, and how long ago.
type Announcement struct {
	Server Server        `msgpack:"s"`
	Age    time.Duration `msgpack:"a,omitempty"`
}

// AnnouncementAge says how long ago a server repeated its announcement.
type AnnouncementAge struct {
	Address netip.AddrPort `msgpack:"s"`
	// AgeMillis is in milliseconds, since a poll carries one for each server.
	AgeMillis uint32 `msgpack:"a,omitempty"`
}

// ManifestText is a committed manifest as it was submitted.
type ManifestText struct {
	Number uint64
	// Digest is the SHA-256 of Text in lower-case hexadecimal.
	Digest string
	Text   []byte
}

// PollReply is a keeper's state as a dock needs it.
type PollReply struct {
	Keeper      identifier.HostName    `msgpack:"n"`
	Incarnation identifier.Incarnation `msgpack:"i,omitempty"`
	// Voter says whether this keeper counts toward a majority.
	Voter bool `msgpack:"o,omitempty"`
	// VotersDigest identifies the voters that this keeper's log names.
	VotersDigest uint64 `msgpack:"v,omitempty"`
	// Voters are the voters that this keeper's log names, committed or not. They are set
	// if the dock's KnownVoters differ.
	Voters []KeeperMember `msgpack:"s,omitempty"`
	// Outgoing are the former voters while a change of the voters is not complete. They
	// are set along with Voters.
	Outgoing     []KeeperMember `msgpack:"u,omitempty"`
	Term         uint64         `msgpack:"t,omitempty"`
	LastLogTerm  uint64         `msgpack:"y,omitempty"`
	LastLogIndex uint64         `msgpack:"x,omitempty"`
	CommitIndex  uint64         `msgpack:"c,omitempty"`
	// Leader is the leader that this keeper follows. It is empty if there is none.
	Leader identifier.HostName `msgpack:"l,omitempty"`
	// ManifestNumber is the newest committed manifest's number. Zero means none.
	ManifestNumber uint64 `msgpack:"m,omitempty"`
	// PendingManifest is the highest manifest number in the log beyond CommitIndex. Zero
	// means none.
	PendingManifest uint64 `msgpack:"p,omitempty"`
	// Manifest is set if the dock's manifest is older than the committed one.
	Manifest *ManifestText `msgpack:"f,omitempty"`
	// View is set by a leader whose view is settled, if the dock's is older.
	View *ViewDelta `msgpack:"w,omitempty"`
	// LeaderReady says that the reply comes from a leader whose view is settled.
	LeaderReady bool `msgpack:"r,omitempty"`
	// Resend asks the dock to send everything that it would tell a new leader.
	Resend bool `msgpack:"a,omitempty"`
	// SendView asks the dock to send its view with the next poll.
	SendView bool `msgpack:"b,omitempty"`
	// Quarantine is the list of fingerprints that no dock may run, set by a leader if the
	// dock's list is another version.
	Quarantine *QuarantineList `msgpack:"k,omitempty"`
}

// QuarantineList is one version of the leader's quarantined fingerprints.
type QuarantineList struct {
	Version     uint64       `msgpack:"v"`
	Quarantined []Quarantine `msgpack:"q,omitempty"`
}

// Quarantine is a fingerprint that crashed too many backend servers.
type Quarantine struct {
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	Remaining   time.Duration          `msgpack:"r"`
}

// KeeperMember names a keeper and its address.
type KeeperMember struct {
	Name        identifier.HostName    `msgpack:"n"`
	Address     netip.AddrPort         `msgpack:"a"`
	Incarnation identifier.Incarnation `msgpack:"i,omitempty"`
}
