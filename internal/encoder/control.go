package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// ClaimRequest requests the exclusive right to dispatch the request with an idempotency key.
// A dock sends it before any byte goes to a backend server. The key contains its creation
// time, so that a resend cannot state a different time.
type ClaimRequest struct {
	Caller identifier.CallerName
	Key    string
	// Body is a digest of the request, so that a key cannot be reused for another request.
	Body    identifier.Fingerprint
	Dock    identifier.HostName
	Holder  identifier.Incarnation
	Request identifier.RequestID
}

// ClaimOutcome is the result of a ClaimRequest.
type ClaimOutcome uint8

// Claim outcomes.
const (
	// ClaimGranted means that the requester has the exclusive right to dispatch.
	ClaimGranted ClaimOutcome = iota
	// ClaimHeld means that another dispatch holds the key and has not settled it.
	ClaimHeld
	// ClaimSettled means that the request already ran. Result holds its answer.
	ClaimSettled
	// ClaimMismatch means that the key was already used with a different request body.
	ClaimMismatch
	// ClaimTooOld means that the key is older than the ledger's retention window.
	ClaimTooOld
	// ClaimInDoubt means that the request may have run. It is not run again.
	ClaimInDoubt
	// ClaimNoQuorum means that the keepers did not answer in time. Nothing may be
	// dispatched, and a claim that was granted nevertheless is released.
	ClaimNoQuorum
	// ClaimUndated means that the key does not contain its creation time.
	ClaimUndated
	// ClaimAhead means that the key's creation time is too far ahead of the keepers' clocks.
	ClaimAhead
	// ClaimFull means that the ledger has reached its limit of entries. Nothing was granted.
	ClaimFull
	// ClaimReleased means that this claim was already released.
	ClaimReleased
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Outcome ClaimOutcome
	// Result is the stored answer of a settled request.
	Result []byte
	// ResultOmitted is true if the request was settled with a result too large to store.
	ResultOmitted bool
	// HolderDock, Holder and HolderRequest identify the dispatch that holds the key. They
	// are set if the outcome is ClaimHeld.
	HolderDock    identifier.HostName
	Holder        identifier.Incarnation
	HolderRequest identifier.RequestID
	// Leader is the address of the leader, if the replying keeper is not the leader.
	Leader netip.AddrPort
}

// SettleRequest ends a claim with its outcome.
type SettleRequest struct {
	Caller identifier.CallerName
	Key    string
	Holder identifier.Incarnation
	// Request is the request that made the claim.
	Request identifier.RequestID
	// Released is true if the request was certainly never dispatched, or if every server
	// that received it declared that it did not start. The key may then be claimed again.
	Released bool
	// InDoubt is true if the request may have run and its result is lost.
	InDoubt bool
	Result  []byte
	// ResultOmitted is true if the result was too large to store.
	ResultOmitted bool
}

// SettleOutcome is the result of a SettleRequest.
type SettleOutcome uint8

// Settle outcomes.
const (
	// SettleAccepted means that the outcome is committed. A resend gets the same answer.
	SettleAccepted SettleOutcome = iota
	// SettleRefused means that the requester does not hold the claim or has already settled
	// it with a different outcome.
	SettleRefused
	// SettleUnknown means that the outcome may or may not be committed. The requester must
	// retry.
	SettleUnknown
)

// SettleReply answers a SettleRequest.
type SettleReply struct {
	Outcome SettleOutcome
	// Leader is the address of the leader, if the replying keeper is not the leader.
	Leader netip.AddrPort
}

// QuarantineReply answers a QuarantineNotice.
type QuarantineReply struct {
	// Accepted is true if the leader has counted the notice.
	Accepted bool
	// Leader is the address of the leader, if the replying keeper is not the leader.
	Leader netip.AddrPort
}

// SubmitRequest submits a manifest.
type SubmitRequest struct {
	Manifest ManifestText
}

// SubmitOutcome is the result of a SubmitRequest.
type SubmitOutcome uint8

// Submit outcomes.
const (
	// SubmitAccepted means that the manifest is committed. A resend gets the same answer.
	SubmitAccepted SubmitOutcome = iota
	// SubmitConflict means that a different manifest is committed under the same number.
	SubmitConflict
	// SubmitSuperseded means that a manifest with a higher number is committed.
	SubmitSuperseded
	// SubmitInvalid means that the text does not parse as a manifest.
	SubmitInvalid
	// SubmitUnknown means that the manifest may or may not be committed. The submitter must
	// retry.
	SubmitUnknown
	// SubmitNotLeader means that nothing was done. The submitter must retry at Leader.
	SubmitNotLeader
)

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	Outcome SubmitOutcome
	// StandingNumber and StandingDigest identify the committed manifest.
	StandingNumber uint64
	StandingDigest string
	Detail         string
	Leader         netip.AddrPort
}

// StatusRequest requests the state of a keeper.
type StatusRequest struct{}

// StatusReply is a keeper's report for operators.
type StatusReply struct {
	Poll PollReply
	// Docks holds the last report of each dock. It is set on the leader only.
	Docks []DockStatus
	// Servers is the number of backend servers in the view. It is set on the leader only.
	Servers int
	// Claims is the number of ledger entries.
	Claims int
	// Quotas lists the customers that are nearest to their quotas. It is set on the leader of a routed
	// deployment only.
	Quotas []QuotaUse `msgpack:",omitempty"`
	// NewestCommand is the highest kind of command of the replicated log that the keeper knows. It is zero
	// from a release that does not know evacuations.
	NewestCommand uint8 `msgpack:",omitempty"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []identifier.DomainName `msgpack:",omitempty"`
}

// DockStatus is a dock's last report to the leader.
type DockStatus struct {
	Host     Host
	Manifest uint64
	Epoch    identifier.Epoch
	// Heard is the time since the dock's last poll.
	Heard time.Duration
}
