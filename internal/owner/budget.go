package owner

// budget is a token bucket that is filled by first subrequests instead of time, so that extra
// subrequests stay a share of the first ones at any request rate.
type budget struct {
	share  float64
	burst  float64
	tokens float64
}

// newBudget returns a budget with a full burst.
func newBudget(share, burst float64) budget {
	return budget{share: share, burst: burst, tokens: burst}
}

// deposit adds the share of one first subrequest.
func (b *budget) deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

// withdraw takes the token of one extra subrequest and reports whether the budget allowed it.
// It leaves at least reserve tokens.
func (b *budget) withdraw(reserve float64) bool {
	if b.tokens < reserve+1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of an extra subrequest that was not sent.
func (b *budget) refund() { b.tokens = min(b.burst, b.tokens+1) }
