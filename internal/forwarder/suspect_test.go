package forwarder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
)

// TestSuspectedRequestWaitsForServersThatAreDown guards against a request that is held until its deadline
// because no server may run it.
func TestSuspectedRequestWaitsForServersThatAreDown(t *testing.T) {
	// Afterwards, its servers could take the ports of those that are closed.
	suspected := fingerprintOf(t)
	d := newScatteredDeployment(t, answers(record(1)), answers(record(2)))
	for _, s := range d.servers {
		s.server.Close()
	}
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: suspected, Service: services(crashingShards)[0]}})
	began := time.Now()
	assert.Equal(t, expect[forwarder.Refused](t, d.get()).Reason, forwarder.ReasonSuspected)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	assert.Equal(t, d.totalRequests(), 0)
}

// TestInnocentRequestIsRefusedWhileOneShardIsDown guards against a request that is refused because the shard
// whose servers it is suspected to have crashed has none.
func TestInnocentRequestIsRefusedWhileOneShardIsDown(t *testing.T) {
	// Afterwards, its servers could take the ports of those that are closed.
	suspected := fingerprintOf(t)
	d := newScatteredDeployment(t, answers(record(1)), answers(record(2)))
	first := services(crashingShards)[0]
	for _, id := range []string{"a", "b"} {
		d.servers[encoder.ServerID(string(first)+id)].server.Close()
	}
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: suspected, Service: first}})
	assert.Equal(t, expect[forwarder.Gathered](t, d.get()).Missing, 1)
}

// TestSuspectedRequestWaitsWhileServersAreSilent guards against a query that waits for its next timer because
// the keepers miss the heartbeats of the servers on which it would be tried.
func TestSuspectedRequestWaitsWhileServersAreSilent(t *testing.T) {
	d := newScatteredDeployment(t, answers(record(1)), answers(record(2)))
	for _, servers := range d.services {
		for i := range servers {
			servers[i].Silent = true
		}
	}
	d.forwarder.UpdateServers(d.services)
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: fingerprintOf(t), Service: services(crashingShards)[0]}})
	began := time.Now()
	assert.Equal(t, expect[forwarder.Refused](t, d.get()).Reason, forwarder.ReasonSuspected)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s", time.Since(began))
}

// fingerprintOf returns the fingerprint of the tests' request.
func fingerprintOf(t *testing.T) identifier.Fingerprint {
	t.Helper()
	d := newCrashingDeployment(t, "a")
	d.get()
	waitFor(t, func() bool { return len(d.crashes()) == 1 })
	return d.crashes()[0].Fingerprint
}
