package broadcaster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
)

// ReportCrashes records what a dock holds against requests and the quarantines that it knows of.
func (b *Broadcaster) ReportCrashes(dock identifier.Incarnation, r encoder.CrashReport) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	findings := append(b.crashTracker.Report(now, dock, r.Crashes), b.crashTracker.Adopt(now, r.Quarantines)...)
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		b.logFinding(f)
	}
	b.updateQuarantines(now)
}

// updateQuarantines computes the quarantines, and if they have changed, wakes all watches and the
// saver. The caller holds the lock.
func (b *Broadcaster) updateQuarantines(now time.Time) {
	quarantines := b.crashTracker.Quarantines(now)
	digest := quarantinesDigest(quarantines)
	if digest == b.quarantinesDigest {
		return
	}
	b.quarantines, b.quarantinesDigest = quarantines, digest
	b.wakeAllWatches()
	select {
	case b.quarantinesChanged <- struct{}{}:
	default:
	}
}

// logFinding logs that a crash was counted for a fingerprint, that a dock withdrew its crashes, or
// that another process quarantined the fingerprint.
func (b *Broadcaster) logFinding(f locator.CrashFinding) {
	outcome := "suspected"
	if f.IsQuarantined {
		outcome = "quarantined"
	}
	line := b.log.Info().Uint64(recorder.FieldFingerprint, uint64(f.Fingerprint)).Str(recorder.FieldOutcome, outcome)
	switch {
	case f.Crash != nil:
		line.Str(recorder.FieldRequest, f.Crash.Request).Str(recorder.FieldServer, string(f.Crash.Server)).
			Bool(recorder.FieldRepeat, f.Crash.IsRepeat).Int(recorder.FieldCount, f.Count).Msg(recorder.EventCrashCounted)
	case f.IsQuarantined:
		line.Msg(recorder.EventQuarantineAdopted)
	default:
		line.Msg(recorder.EventSuspicionCleared)
	}
}

// quarantinesDigest identifies the fingerprints that are quarantined and those that must run
// isolated. It is zero for an empty list.
func quarantinesDigest(quarantines []encoder.Quarantine) uint64 {
	if len(quarantines) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, q := range quarantines {
		// xxhash's Write never returns an error.
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(q.Fingerprint)))
		if q.Remaining > 0 {
			_, _ = d.Write([]byte{1})
		}
	}
	return d.Sum64() | 1
}
