package registrar

import (
	"slices"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
)

// historyLength is how many accepted manifests are remembered by number and digest, so
// that a late resend gets its first answer.
const historyLength = 1000

// accepted names a manifest that was once accepted.
type accepted struct {
	Number uint64
	Digest string
}

// register holds the manifest.
type register struct {
	invariants checker.Hook
	// isHighest says that a submission that a higher number has overtaken is accepted
	// without effect.
	isHighest bool

	standing encoder.ManifestText
	// history lists the accepted manifests in rising order, the standing one last.
	history []accepted
}

// submit decides on a manifest. The order of the log decides between manifests that race.
func (r *register) submit(m encoder.ManifestText) encoder.SubmitReply {
	outcome := r.decide(m)
	if outcome == encoder.SubmitAccepted && m.Number > r.standing.Number {
		r.accept(m)
	}
	return encoder.SubmitReply{
		Outcome:        outcome,
		StandingNumber: r.standing.Number,
		StandingDigest: r.standing.Digest,
	}
}

// decide compares a manifest with those accepted before.
func (r *register) decide(m encoder.ManifestText) encoder.SubmitOutcome {
	if m.Number == 0 {
		return encoder.SubmitInvalid
	}
	if m.Number > r.standing.Number || r.isHighest {
		return encoder.SubmitAccepted
	}
	// Equal number and digest as an accepted one is a resend, also after a later one.
	if slices.Contains(r.history, accepted{m.Number, m.Digest}) {
		return encoder.SubmitAccepted
	}
	if m.Number == r.standing.Number {
		return encoder.SubmitConflict
	}
	return encoder.SubmitSuperseded
}

// accept puts a manifest in the place of the standing one.
func (r *register) accept(m encoder.ManifestText) {
	if !r.invariants.Check(m.Number > r.standing.Number, "manifest_number_rises", "%d after %d", m.Number, r.standing.Number) {
		return
	}
	r.standing = m
	r.history = append(r.history, accepted{m.Number, m.Digest})
	if excess := len(r.history) - historyLength; excess > 0 {
		r.history = slices.Delete(r.history, 0, excess)
	}
}
