package checker

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckCallsTheHook(t *testing.T) {
	var seen []string
	h := Hook(func(name, detail string) { seen = append(seen, name+": "+detail) })
	assert.Assert(t, h.Check(true, "number_rises", "unused"))
	assert.Assert(t, !h.Check(false, "number_rises", "%d after %d", 3, 4))
	assert.DeepEqual(t, seen, []string{"number_rises: 3 after 4"})
}

func TestCheckWithoutHookPanics(t *testing.T) {
	defer func() { assert.Equal(t, recover(), "invariant number_rises is broken: 3 after 4") }()
	Hook(nil).Check(false, "number_rises", "%d after %d", 3, 4)
}
