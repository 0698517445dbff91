package selector

// Stats sum up what choices rest on, for metrics.
type Stats struct {
	// Servers may get requests, and Slow of them are slow by the docks' common verdict.
	Servers int
	Slow    int
	// Repeats is what the service with the fewest repeats left still allows.
	Repeats float64
}

// Stats returns the present levels.
func (s *Selector) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	levels := Stats{Servers: len(s.servers), Slow: len(s.verdicts), Repeats: s.allowance("").burst}
	for _, b := range s.budgets {
		levels.Repeats = min(levels.Repeats, b.tokens)
	}
	return levels
}
