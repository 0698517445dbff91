package routekeeperrunner

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestKeeperOutsideOfTheGroupRefusesServers guards against servers that are lost: a keeper that is outside of
// the group for good acknowledges their heartbeats and departures, of which no dock hears.
func TestKeeperOutsideOfTheGroupRefusesServers(t *testing.T) {
	var log bytes.Buffer
	a := admission{log: zerolog.New(&log)}
	start := time.Unix(100, 0)
	assert.Assert(t, a.admits(start, false, false), "it may be about to join")
	assert.Assert(t, !a.admits(start, false, true), "a departure must have an effect")
	assert.Assert(t, a.admits(start.Add(outsideGrace-1), false, false))
	assert.Assert(t, !a.admits(start.Add(outsideGrace), false, false))
	assert.Assert(t, !a.admits(start.Add(time.Hour), false, false))
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("\n")), 1)
	assert.Assert(t, a.admits(start.Add(time.Hour), true, true))
	assert.Assert(t, a.admits(start.Add(2*time.Hour), false, false), "the time starts anew")
}
