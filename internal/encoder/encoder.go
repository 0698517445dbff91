// Package encoder defines the messages that banyandock's processes exchange and encodes
// them in msgpack. Times are sent as relative durations in nanoseconds, so that the hosts'
// clocks need not be synchronized. Fields are encoded by name. A release ignores unknown
// fields and leaves absent ones at zero.
package encoder

//go:generate ../../bin/enumer -type Kind -trimprefix Kind -transform snake -output kind_enumer.go
//go:generate ../../bin/enumer -type MissingReason -trimprefix Missing -transform snake -text -output missingreason_enumer.go
//go:generate ../../bin/enumer -type HostState -trimprefix Host -transform snake -text -output hoststate_enumer.go
//go:generate ../../bin/enumer -type ServerState -trimprefix Server -transform snake -text -output serverstate_enumer.go
//go:generate ../../bin/enumer -type ServerProtocol -trimprefix Protocol -transform snake -text -output serverprotocol_enumer.go
//go:generate ../../bin/enumer -type ClaimOutcome -trimprefix Claim -transform snake -text -output claimoutcome_enumer.go
//go:generate ../../bin/enumer -type SettleOutcome -trimprefix Settle -transform snake -text -output settleoutcome_enumer.go
//go:generate ../../bin/enumer -type SubmitOutcome -trimprefix Submit -transform snake -text -output submitoutcome_enumer.go

//go:generate ../../bin/enumer -type EvacuateOutcome -trimprefix Evacuate -transform snake -text -output evacuateoutcome_enumer.go

//go:generate ../../bin/enumer -type Presence -trimprefix Presence -transform snake -text -output presence_enumer.go

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed reports bytes that are not a valid encoding of the expected message.
var ErrMalformed = eris.New("malformed message")

// Encode encodes a message in msgpack.
func Encode[M any](message M) ([]byte, error) {
	b, err := msgpack.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", message)
	}
	return b, nil
}

// Decode decodes a message from msgpack. Its errors wrap ErrMalformed.
func Decode[M any](b []byte) (M, error) {
	var m M
	if err := checkBounds(b); err != nil {
		return m, eris.Wrapf(ErrMalformed, "%T: %v", m, err)
	}
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return m, eris.Wrapf(ErrMalformed, "%T: %v", m, err)
	}
	return m, nil
}

// Kind is the message type that a frame carries.
type Kind uint16

// Kinds of messages. The numbers are part of the protocol, so new kinds must be added at the
// end.
const (
	// KindNone is never sent.
	KindNone Kind = iota
	// KindShardBatch carries a ShardBatch from a root dock to an owner dock.
	KindShardBatch
	// KindHandover carries a HandoverRequest from a shard's new owner to its former owner.
	KindHandover
	// KindPoll carries a PollRequest from a dock to a keeper.
	KindPoll
	// KindClaim carries a ClaimRequest from a dock to the leader of the keepers.
	KindClaim
	// KindSettle carries a SettleRequest from a dock to the leader of the keepers.
	KindSettle
	// KindSubmit carries a SubmitRequest from dockctl to a keeper.
	KindSubmit
	// KindStatus carries a StatusRequest from dockctl to a keeper.
	KindStatus
	// KindEvents carries an EventsRequest from dockctl to any process.
	KindEvents
	// KindAgreement carries a replicator message between keepers.
	KindAgreement
	// KindQuarantine carries a QuarantineNotice from an owner dock to the leader of the
	// keepers.
	KindQuarantine
	// KindCanary carries a CanaryRequest from a root dock to the dock that owns a
	// fingerprint.
	KindCanary
	// KindWatch carries a WatchRequest from a dock to any keeper.
	KindWatch
	// KindFetch carries a FetchRequest from a dock to any keeper.
	KindFetch
	// KindConfirm carries a ConfirmRequest from a keeper to the leader of the keepers.
	KindConfirm
	// KindDepart carries the Registration of a server that shuts down from one keeper to
	// another.
	KindDepart
	// KindObserve carries an ObserveNotice from a dock to the leader of the keepers.
	KindObserve
	// KindGather carries a GatherRequest from a dock to the dock that owns the shards.
	KindGather
	// KindMore carries a MoreRequest from a dock to the dock that owns the shards.
	KindMore
	// KindCrashReport carries a CrashReport from a dock to a keeper.
	KindCrashReport
	// KindTokens carries a TokenRequest from a dock to the leading keeper.
	KindTokens
	// KindRelay carries a RelayRequest from a dock to another dock.
	KindRelay
	// KindDetach carries a DetachNotice from a dock to a keeper.
	KindDetach
	// KindShortWatch carries a ShortWatchRequest from a dock to any keeper.
	KindShortWatch
	// KindQuota carries a QuotaRequest from a dock to a keeper.
	KindQuota
	// KindEvacuate carries an EvacuateRequest from a keeper to the leader of the keepers.
	KindEvacuate
	// KindRoute carries a RouteRequest from dockctl to a routed dock.
	KindRoute
)
