package watcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDocksOfARestartedKeeperAreNotTakenForAll counts 232 docks, then those that have found a keeper
// after its restart, then, after two docks have left, all that remain.
func TestDocksOfARestartedKeeperAreNotTakenForAll(t *testing.T) {
	start := time.Unix(1000, 0)
	p := peak{}
	assert.Equal(t, p.observe(start, 3), 3)
	assert.Equal(t, p.observe(start.Add(time.Second), 232), 232)
	assert.Equal(t, p.observe(start.Add(2*time.Second), 1), 232)
	assert.Equal(t, p.observe(start.Add(10*time.Second), 230), 232)
	assert.Equal(t, p.observe(start.Add(17*time.Second), 230), 230)
}
