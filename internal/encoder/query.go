package encoder

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

// ShardBatch requests the results of several shards of one index version from an owner dock.
type ShardBatch struct {
	Request identifier.RequestID
	// Attempt numbers the batches that a root dock sends for a request, starting at 1.
	Attempt uint32
	Root    identifier.HostName
	// Epoch is the epoch of the root's view. An owner with a different view uses its own.
	Epoch      identifier.Epoch
	Service    identifier.ServiceName
	Operation  identifier.OperationName
	Version    identifier.IndexVersion
	ShardCount uint32
	Shards     []identifier.ShardNumber
	Urgency    manifestreader.Urgency
	// Idempotent permits hedges and retries. An owner dispatches a batch that is not
	// idempotent to at most one backend server per shard.
	Idempotent bool
	// IdempotencyKey is passed on to the backend server. It is empty for idempotent requests.
	IdempotencyKey string
	// Timeout is the time left until the caller's deadline.
	Timeout     time.Duration
	Fingerprint identifier.Fingerprint
	// Canary marks the first subrequest of a fingerprint that has not succeeded recently.
	Canary bool
	// Adopt requests that a dock serves shards that it does not own in any view, because
	// neither their owners nor their second docks can be reached.
	Adopt bool
	// Alone requests that the backend server runs nothing else during this subrequest.
	Alone    bool
	Merge    manifestreader.MergeRule
	RowLimit int
	Body     []byte
}

// Row is one result of a shard.
type Row struct {
	Score float64
	Shard identifier.ShardNumber
	// Value is the row's JSON text.
	Value []byte
}

// MissingReason is the reason why an answer does not cover a shard.
type MissingReason uint8

// Reasons for a missing shard.
const (
	// MissingNoReplica means that no ready backend server holds the shard.
	MissingNoReplica MissingReason = iota
	// MissingOverload means that the shard's queue was too long to meet the deadline.
	MissingOverload
	// MissingDeadline means that the deadline passed before the shard answered.
	MissingDeadline
	// MissingVersion means that no replica holds the index version any more.
	MissingVersion
	// MissingCrash means that the connection to the backend server broke while the
	// subrequest was running.
	MissingCrash
	// MissingQuarantine means that the request's fingerprint is quarantined.
	MissingQuarantine
	// MissingOwner means that the owner dock could not be reached in time.
	MissingOwner
	// MissingServerError means that the backend server answered with an error.
	MissingServerError
	// MissingAbandoned means that the root cancelled the query before the shard answered,
	// because failures of other shards made the required coverage unreachable.
	MissingAbandoned
)

// MissingShard is a shard that a reply does not cover.
type MissingShard struct {
	Shard  identifier.ShardNumber
	Reason MissingReason
	// Started reports whether a backend server may have run the subrequest. It is false only
	// if nothing was sent, or if every server that received it declared that it did not
	// start.
	Started bool
	// RetryAfter is the time after which the owner expects to have capacity. Zero means
	// unknown.
	RetryAfter time.Duration
	// Owner is the dock that owns the shard in the replying dock's view. It is set with
	// MissingOwner, so that a root with an older view does not have to wait for the next one.
	Owner *Host `msgpack:",omitempty"`
}

// BatchReply is an owner's answer to a ShardBatch. Each shard of the batch is listed either in
// Covered or in Missing.
type BatchReply struct {
	Request identifier.RequestID
	Attempt uint32
	Version identifier.IndexVersion
	Rows    []Row
	Covered []identifier.ShardNumber
	// Totals are the totals of the covered shards, in the order of Covered. The root needs
	// them per shard, because two owners may answer for the same shard.
	Totals  []float64
	Missing []MissingShard
	// QueueDelay is the currently expected wait in the owner's queues, by urgency.
	QueueDelay QueueDelay
	// Subrequests counts the subrequests sent to backend servers, including hedges and
	// retries.
	Subrequests uint32
	// Crashes counts the backend servers whose connection broke while they ran a
	// subrequest of this batch.
	Crashes uint32
}

// QueueDelay is the expected wait before dispatch at an owner, by urgency.
type QueueDelay struct {
	Urgent  time.Duration
	Routine time.Duration
}

// HandoverRequest requests that the former owner of shards stops dispatching to their backend
// servers as of the given epoch.
type HandoverRequest struct {
	Epoch  identifier.Epoch
	Shards []identifier.Shard
	// Owner is the new owner, which sends the request.
	Owner Host
}

// HandoverReply holds the number of in-flight subrequests of the former owner for each
// requested shard.
type HandoverReply struct {
	Epoch    identifier.Epoch
	InFlight []int
}

// CanaryRequest requests that the owner of a fingerprint runs its canary. The owner runs at
// most one canary of a fingerprint at a time, for all docks together.
type CanaryRequest struct {
	Batch ShardBatch
}

// CanaryReply contains the result of the canary or the reason why it was not run.
type CanaryReply struct {
	Reply BatchReply
	// Quarantined is true if the fingerprint has crashed too many backend servers.
	Quarantined bool
	// RetryAfter is the remaining time in quarantine.
	RetryAfter time.Duration
}

// QuarantineNotice reports to the keepers that a fingerprint crashed a backend server.
type QuarantineNotice struct {
	Fingerprint identifier.Fingerprint
	Crashes     uint32
}
