package governor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// withCluster runs a test with a cluster whose keepers have formed a group and whose docks have
// received a first view.
func withCluster(t *testing.T, keepers, docks int, test func(cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 7, keepers, docks)
		defer cl.close()
		cl.expectConverged()
		test(cl)
	})
}

// expectConverged waits until all docks are fresh and have the same complete view.
func (cl *cluster) expectConverged() {
	cl.t.Helper()
	cl.expect("all docks fresh with the same view", 30*time.Second, cl.isConverged)
}

func (cl *cluster) isConverged() bool {
	var epoch any
	for _, d := range cl.docks {
		s := d.poller.State()
		if epoch == nil {
			epoch = s.View.Epoch
		}
		if !d.poller.IsFresh() || s.View.Epoch == 0 || s.View.Epoch != epoch || len(s.View.Hosts) != len(cl.docks) || len(s.View.Servers) < len(cl.docks) {
			return false
		}
	}
	return true
}

// isInForce reports whether all docks are fresh and have applied a manifest.
func (cl *cluster) isInForce(number uint64) bool {
	for _, d := range cl.docks {
		if d.poller.State().ManifestText.Number != number || !d.poller.IsFresh() {
			return false
		}
	}
	return true
}

func TestAcceptedManifestIsInForceEverywhere(t *testing.T) {
	withCluster(t, 3, 5, func(cl *cluster) {
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		took := cl.expect("manifest 1 in force", 8*time.Second, func() bool { return cl.isInForce(1) })
		cl.t.Logf("in force after %s", took)
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		assert.Equal(cl.t, cl.submit(manifest(1, "b"), 5*time.Second), encoder.SubmitConflict)
		assert.Equal(cl.t, cl.submit(manifest(3, "c"), 5*time.Second), encoder.SubmitAccepted)
		assert.Equal(cl.t, cl.submit(manifest(2, "d"), 5*time.Second), encoder.SubmitSuperseded)
	})
}
