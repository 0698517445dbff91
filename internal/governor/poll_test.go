package governor_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/timekeeper"
)

// committingLog is a replicated log that commits manifest 5 while its status is read. The status
// that it returns does not report the manifest as pending.
type committingLog struct{ state *registrar.Registrar }

func (e committingLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, governor.ErrUnknown
}

func (e committingLog) Barrier(context.Context) error { return governor.ErrUnknown }
func (e committingLog) ReportGroup()                  {}

func (e committingLog) GroupStatus() governor.GroupStatus {
	b, _ := registrar.EncodeCommand(registrar.SubmitCommand{Manifest: manifest(5, "")})
	e.state.Apply(1, b)
	return governor.GroupStatus{CommitIndex: 1, LastLogIndex: 1}
}

func withCommittingLog(t *testing.T, test func(t *testing.T, g *governor.Governor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		state := registrar.New(nil)
		g := governor.New(committingLog{state}, state, number, timekeeper.System{})
		defer g.Close()
		test(t, g)
	})
}

// TestPollReplyIncludesConcurrentlyCommittedManifest commits a manifest while a poll is answered.
// The reply does not report it as pending any more, so it must report it as committed. Otherwise
// the dock would miss it.
func TestPollReplyIncludesConcurrentlyCommittedManifest(t *testing.T) {
	withCommittingLog(t, func(t *testing.T, g *governor.Governor) {
		reply, err := g.Poll(t.Context(), publisher.Dock{}, encoder.PollRequest{})
		assert.NilError(t, err)
		assert.Equal(t, reply.ManifestNumber, uint64(5))
	})
}

func TestUnknownOutcomesAreReported(t *testing.T) {
	withCommittingLog(t, func(t *testing.T, g *governor.Governor) {
		s, err := g.Submit(t.Context(), encoder.SubmitRequest{Manifest: manifest(6, "")})
		assert.NilError(t, err)
		assert.Equal(t, s.Outcome, encoder.SubmitUnknown)
		c, err := g.Claim(t.Context(), encoder.ClaimRequest{})
		assert.NilError(t, err)
		assert.Equal(t, c.Outcome, encoder.ClaimNoQuorum)
		e, err := g.Settle(t.Context(), encoder.SettleRequest{})
		assert.NilError(t, err)
		assert.Equal(t, e.Outcome, encoder.SettleUnknown)
	})
}

func expectInvalid(t *testing.T, g *governor.Governor, change func(m *encoder.ManifestText), detail string) {
	t.Helper()
	m := manifest(6, "")
	change(&m)
	s, err := g.Submit(t.Context(), encoder.SubmitRequest{Manifest: m})
	assert.NilError(t, err)
	assert.Equal(t, s.Outcome, encoder.SubmitInvalid)
	assert.Equal(t, s.Detail, detail)
}

func TestInvalidManifestsAreNotProposed(t *testing.T) {
	withCommittingLog(t, func(t *testing.T, g *governor.Governor) {
		expectInvalid(t, g, func(m *encoder.ManifestText) { m.Number = 0 }, "the number must not be zero")
		expectInvalid(t, g, func(m *encoder.ManifestText) { m.Number = 7 }, "the text has number 6, the submission 7")
		expectInvalid(t, g, func(m *encoder.ManifestText) { m.Text = make([]byte, 5<<20) }, "the text has 5242880 bytes, more than 4194304")
		expectInvalid(t, g, func(m *encoder.ManifestText) { *m = manifest(6, ""); m.Digest = "x" }, "the text's digest is "+manifest(6, "").Digest)
	})
}
