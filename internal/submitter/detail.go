package submitter

import "fmt"

// detailedError adds a detail to one of the package's errors. Its message is meant for operators:
// the outcome comes first, then the detail.
type detailedError struct {
	outcome error
	detail  string
}

// withDetail adds a formatted detail to an outcome.
func withDetail(outcome error, format string, arguments ...any) error {
	return &detailedError{outcome: outcome, detail: fmt.Sprintf(format, arguments...)}
}

// Error returns the outcome followed by the detail.
func (e *detailedError) Error() string { return e.outcome.Error() + ": " + e.detail }

// Unwrap returns the outcome.
func (e *detailedError) Unwrap() error { return e.outcome }
