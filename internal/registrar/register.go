package registrar

import (
	"slices"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
)

// historyLength is how many accepted manifests are stored by number and digest, so that a late
// retry gets the same reply as the first attempt.
const historyLength = 1000

// acceptedManifest identifies a manifest that was accepted.
type acceptedManifest struct {
	Number uint64
	Digest string
}

// register holds the current manifest.
type register struct {
	invariants checker.Hook
	// isHighestWins means that a submission whose number is not above the current one is accepted
	// without effect.
	isHighestWins bool

	current encoder.ManifestText
	// history contains the accepted manifests in ascending order. The current one is last.
	history []acceptedManifest
}

// submit applies a submission. Competing manifests are decided in the order of the log.
func (r *register) submit(m encoder.ManifestText) encoder.SubmitReply {
	outcome := r.decide(m)
	if outcome == encoder.SubmitAccepted && m.Number > r.current.Number {
		r.accept(m)
	}
	return encoder.SubmitReply{
		Outcome:        outcome,
		StandingNumber: r.current.Number,
		StandingDigest: r.current.Digest,
	}
}

// decide returns the outcome for a manifest, given those accepted before.
func (r *register) decide(m encoder.ManifestText) encoder.SubmitOutcome {
	if m.Number == 0 {
		return encoder.SubmitInvalid
	}
	if m.Number > r.current.Number || r.isHighestWins {
		return encoder.SubmitAccepted
	}
	// A manifest with the number and digest of an accepted one is a retry, even if a later manifest
	// was accepted in the meantime.
	if slices.Contains(r.history, acceptedManifest{m.Number, m.Digest}) {
		return encoder.SubmitAccepted
	}
	if m.Number == r.current.Number {
		return encoder.SubmitConflict
	}
	return encoder.SubmitSuperseded
}

// accept replaces the current manifest.
func (r *register) accept(m encoder.ManifestText) {
	if !r.invariants.Check(m.Number > r.current.Number, "manifest_number_rises", "%d after %d", m.Number, r.current.Number) {
		return
	}
	r.current = m
	r.history = append(r.history, acceptedManifest{m.Number, m.Digest})
	if excess := len(r.history) - historyLength; excess > 0 {
		r.history = slices.Delete(r.history, 0, excess)
	}
}
