package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/suspector"
)

// CrashStats are figures about requests that crash servers, for metrics.
type CrashStats struct {
	suspector.Stats
	// Unanswered are the figures about requests that servers have not answered.
	Unanswered accuser.Stats
}

// CrashStats returns the current figures.
func (f *Forwarder) CrashStats() CrashStats {
	return CrashStats{Stats: f.suspector.Stats(), Unanswered: f.accuser.Stats()}
}

// CrashReport returns what this dock holds against requests, and a version that changes with it.
func (f *Forwarder) CrashReport() (encoder.CrashReport, uint64) {
	return f.suspector.Report(f.clock.Now())
}

// SetQuarantines adds the quarantines that a keeper knows of. The requests must not run until their
// quarantine ends, or run isolated if no time remains.
func (f *Forwarder) SetQuarantines(list []encoder.Quarantine) {
	for _, q := range f.suspector.SetQuarantines(f.clock.Now(), list) {
		f.logQuarantine(q)
	}
}

// logQuarantine logs that requests with a fingerprint must not run.
func (f *Forwarder) logQuarantine(q encoder.Quarantine) {
	f.log.Warn().Uint64(recorder.FieldFingerprint, uint64(q.Fingerprint)).
		Int64(recorder.FieldRetryAfter, q.Remaining.Milliseconds()).Msg(recorder.EventQuarantine)
}

// accuse holds the end of a server against a request that the server had not answered, unless another
// one has answered it.
func (f *Forwarder) accuse(r accuser.Run, endedAt time.Time, e evidence) {
	f.log.Warn().Str(recorder.FieldRequest, r.Request).Uint64(recorder.FieldFingerprint, uint64(r.Fingerprints[0])).
		Str(recorder.FieldServer, string(r.Server)).Bool(recorder.FieldRepeat, r.IsRepeat).
		Stringer(recorder.FieldEvidence, e).Msg(recorder.EventCrash)
	if r.IsAnswered.Load() {
		return
	}
	for _, one := range r.Fingerprints {
		isQuarantined := f.suspector.RecordCrash(f.clock.Now(), locator.Crash{
			Crash: encoder.Crash{
				Fingerprint: one, Request: r.Request, Server: r.Server, Service: r.Service,
				IsRepeat: r.IsRepeat, IsPartial: r.IsAnsweredElsewhere.Load(),
			},
			SentAt: r.SentAt, EndedAt: endedAt,
		})
		if isQuarantined {
			f.logQuarantine(encoder.Quarantine{Fingerprint: one, Remaining: locator.QuarantineTime})
		}
	}
	if r.IsAnswered.Load() {
		// The answer arrived while the crash was recorded.
		f.suspector.RecordAnswer(r.Fingerprints, r.Service)
	}
}

// recordAnswer records that a server of the job's service has answered the request.
func (j *job) recordAnswer() {
	j.query.wasAnswered.Store(true)
	if j.wasAnswered.CompareAndSwap(false, true) {
		j.query.forwarder.suspector.RecordAnswer(j.query.fingerprints.list(), j.service)
	}
}

// recordOutcome records whether all services have answered the request.
func (q *query) recordOutcome(o Outcome) {
	isComplete := false
	switch o := o.(type) {
	case Answer:
		isComplete = o.Reply.Kind() == sender.ReplySuccess
	case Gathered:
		isComplete = o.Missing == 0
	}
	if isComplete && len(q.relayHosts) == 0 {
		q.forwarder.suspector.RecordSuccess(q.fingerprints.list())
	}
}
