package owner

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "run the model over policies and print a table")

// TestMeasurePolicies prints the figures of docs/MEASUREMENTS-owner.md.
func TestMeasurePolicies(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure only")
	}
	policies := []struct {
		name   string
		change func(*Policy)
	}{
		{"default", func(*Policy) {}},
		{"no hedges", func(p *Policy) { p.HedgeBudget, p.HedgeBurst = 0, 0 }},
		{"hedge at 0.90", func(p *Policy) { p.HedgeQuantile = 0.90 }},
		{"hedge at 0.98", func(p *Policy) { p.HedgeQuantile = 0.98 }},
		{"hedge at 0.99", func(p *Policy) { p.HedgeQuantile = 0.99 }},
		{"hedge budget 2%", func(p *Policy) { p.HedgeBudget = 0.02 }},
	}
	fmt.Println("policy | load | slow replica | urgent p50 | p99 | routine p50 | p99 | urgent partial | routine partial | extra | routine refused | routine shards covered")
	for _, p := range policies {
		for _, hasSlowReplica := range []bool{false, true} {
			for _, load := range []float64{0.60, 0.75, 0.85} {
				m := &modelRun{seed: 1, load: load, urgent: 0.3, hasSlowReplica: hasSlowReplica, duration: 8 * time.Second, policy: DefaultPolicy()}
				p.change(&m.policy)
				synctest.Test(t, m.run)
				printRun(p.name, m)
			}
		}
	}
}

func printRun(name string, m *modelRun) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	urgent := len(m.urgentLatencies) + m.urgentPartial
	routine := len(m.routineLatencies) + m.routinePartial
	fmt.Printf("%s | %.0f%% | %t | %.1f | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.2f%% | %.1f%% | %.1f%%\n", name, 100*m.load, m.hasSlowReplica,
		ms(quantile(m.urgentLatencies, 0.5)), ms(quantile(m.urgentLatencies, 0.99)),
		ms(quantile(m.routineLatencies, 0.5)), ms(quantile(m.routineLatencies, 0.99)),
		100*float64(m.urgentPartial)/float64(urgent), 100*float64(m.routinePartial)/float64(routine),
		100*float64(m.sent-m.firstCount)/float64(m.firstCount),
		100*float64(m.routineRefused)/float64(routine), 100*float64(m.coveredShards)/float64(20*routine))
}
