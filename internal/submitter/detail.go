package submitter

import "fmt"

// explainedError is one of the package's errors with what is known of its cause, worded
// for operators: the outcome first, then the detail.
type explainedError struct {
	outcome error
	detail  string
}

// explain adds a detail to an outcome.
func explain(outcome error, format string, arguments ...any) error {
	return &explainedError{outcome: outcome, detail: fmt.Sprintf(format, arguments...)}
}

// Error renders the outcome, then the detail.
func (e *explainedError) Error() string { return e.outcome.Error() + ": " + e.detail }

// Unwrap returns the outcome.
func (e *explainedError) Unwrap() error { return e.outcome }
