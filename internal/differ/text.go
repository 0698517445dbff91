package differ

import (
	"fmt"
	"strings"

	"banyandock.example/banyandock/internal/manifestreader"
)

// String renders the report as human-readable text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "manifest %d -> %d\n", r.OldNumber, r.NewNumber)
	b.WriteString(r.numberNote())
	if len(r.Changes) == 0 {
		b.WriteString("no caller and no service is touched\n")
		return b.String()
	}
	fmt.Fprintf(&b, "callers touched:  %s\n", join(r.Callers()))
	fmt.Fprintf(&b, "services touched: %s\n", join(r.Services()))
	fmt.Fprintf(&b, "contracts: %s\n", r.counts())
	for _, c := range r.Changes {
		b.WriteString("\n" + describe(c))
	}
	if len(r.Rates) > 0 {
		b.WriteString("\nrequests a second that all contracts together admit:\n")
	}
	for _, s := range r.Rates {
		fmt.Fprintf(&b, "  %s: %s -> %s\n", s.Service, formatNumber(s.Old), formatNumber(s.New))
	}
	return b.String()
}

// numberNote returns a warning if the keepers would refuse the new number, a note if the texts are
// equal, and an empty text otherwise.
func (r Report) numberNote() string {
	switch {
	case r.IsSameText:
		return "the texts are equal; submitting again is safe and changes nothing\n"
	case r.NewNumber == r.OldNumber:
		return "WARNING: the numbers are equal but the texts differ; the keepers will refuse the new manifest\n"
	case r.NewNumber < r.OldNumber:
		return "WARNING: the new number is lower; the keepers will refuse the new manifest\n"
	default:
		return ""
	}
}

// counts renders the number of contracts for each kind of change.
func (r Report) counts() string {
	var added, removed, altered int
	for _, c := range r.Changes {
		switch c.(type) {
		case Added:
			added++
		case Removed:
			removed++
		case Altered:
			altered++
		}
	}
	return fmt.Sprintf("%d added, %d removed, %d altered, %d unchanged", added, removed, altered, r.Unchanged)
}

// describe renders one change.
func describe(c Change) string {
	switch change := c.(type) {
	case Added:
		return fmt.Sprintf("+ %s\n    new: %s\n", title(change.Contract), summary(change.Contract))
	case Removed:
		return fmt.Sprintf("- %s\n    removed: such requests are refused as undeclared, not run\n", title(change.Contract))
	case Altered:
		var b strings.Builder
		fmt.Fprintf(&b, "~ %s\n", title(change.New))
		for _, t := range change.Terms {
			fmt.Fprintf(&b, "    %s: %s -> %s (%s): %s\n", t.Key, t.Old, t.New, t.Direction, t.Effect)
		}
		return b.String()
	default:
		return ""
	}
}

// title renders the caller, service and operation of a contract.
func title(c manifestreader.Contract) string {
	return fmt.Sprintf("%s asks %s for %s", c.Caller, c.Service, c.Operation)
}

// summary renders a contract's terms on one line.
func summary(c manifestreader.Contract) string {
	run := "idempotent"
	if !c.Idempotent {
		run = "at most once"
	}
	return fmt.Sprintf("%s, %s, within %s, up to %s/s and %d in flight at each dock, covering at least %s of the data",
		c.Urgency, run, c.Deadline, formatNumber(c.RatePerSecond), c.Concurrency, formatNumber(c.MinimumCoverage))
}

// join joins names with commas.
func join[N ~string](names []N) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
