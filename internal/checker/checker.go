// Package checker asserts invariants. The program decides what happens when one is broken, so that
// packages do not depend on it.
package checker

import "fmt"

// Hook is called with the name of a broken invariant, in snake case, and the values that broke it.
// Programs count and log them. Check panics if the hook is nil, so that tests fail.
type Hook func(name, detail string)

// Check calls the hook if isHeld is false, which means that the invariant is broken. It returns
// isHeld, so that the caller can stop.
func (h Hook) Check(isHeld bool, name, format string, arguments ...any) bool {
	if isHeld {
		return true
	}
	detail := fmt.Sprintf(format, arguments...)
	if h == nil {
		panic(fmt.Sprintf("invariant %s is broken: %s", name, detail))
	}
	h(name, detail)
	return false
}
