package broadcaster

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/recorder"
)

// IssueTokens records the limits of servers that a dock reports, and issues the tokens that it asks
// for. It returns false if this keeper does not lead, because only one keeper may issue tokens.
func (b *Broadcaster) IssueTokens(r encoder.TokenRequest) (encoder.TokenReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.keeperState().IsLeader {
		return encoder.TokenReply{}, false
	}
	now := b.clock.Now()
	for _, l := range b.issuer.Report(now, r.Limits) {
		event := recorder.EventServerUnlimited
		if l.IsNamed {
			event = recorder.EventServerLimited
		}
		b.log.Info().Str(recorder.FieldServer, string(l.Server)).Float64(recorder.FieldLimit, l.Rate).Msg(event)
	}
	return b.issuer.Issue(now, r), true
}

// updateLimits computes the list of limits, and wakes all watches if it has changed. The caller holds
// the lock.
func (b *Broadcaster) updateLimits(now time.Time) {
	digest := limitsDigest(b.issuer.Limits(now))
	if digest == b.limitsDigest {
		return
	}
	b.limitsDigest = digest
	b.wakeAllWatches()
}

// limitsDigest identifies what a list of limits says.
func limitsDigest(limits []encoder.ServerLimit) uint64 {
	if len(limits) == 0 {
		return encoder.NoLimits
	}
	d := xxhash.New()
	for _, l := range limits {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(string(l.Server))
		_, _ = d.Write([]byte{0})
		state := uint64(l.Born)
		if l.IsNamed {
			state ^= math.Float64bits(l.Rate) | 1<<63
		}
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, state))
	}
	return d.Sum64() | 1
}
