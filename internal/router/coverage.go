package router

import (
	"fmt"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/merger"
)

// isCoverageReachable reports whether the pending and covered shards together can satisfy the
// contract. If not, the query ends at once.
func (g *scatterGather) isCoverageReachable() bool {
	return g.meetsMinimumCoverage(g.covered + g.pending)
}

// isCoverageReached reports whether the covered shards satisfy the contract.
func (g *scatterGather) isCoverageReached() bool {
	return g.meetsMinimumCoverage(g.covered)
}

// meetsMinimumCoverage reports whether a number of covered shards satisfies the contract's minimum
// coverage.
func (g *scatterGather) meetsMinimumCoverage(shards int) bool {
	return float64(shards) >= g.run.contract.MinimumCoverage*float64(len(g.shards))
}

// hasLostVersion reports whether a shard is missing because its replicas no longer hold the
// version, or because its owner has no replica of it although this dock's view does. In the
// latter case the owner's view is older or newer, and another version may be complete in both.
func (g *scatterGather) hasLostVersion() bool {
	for _, n := range g.shards {
		p := &g.progress[n]
		if p.isCovered {
			continue
		}
		isUnknownToOwner := p.missing.Reason == encoder.MissingNoReplica && g.candidate.Covers(n)
		if p.missing.Reason == encoder.MissingVersion || isUnknownToOwner {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether a backend server may have run any part of the query.
func (g *scatterGather) mayHaveRun() bool {
	for _, n := range g.shards {
		if g.progress[n].mayHaveRun {
			return true
		}
	}
	return false
}

// coverage returns which shards are covered and why the others are missing.
func (g *scatterGather) coverage() Coverage {
	c := Coverage{Version: g.candidate.Version, Shards: uint32(len(g.shards)), Covered: uint32(g.covered)}
	for _, n := range g.shards {
		if p := &g.progress[n]; !p.isCovered {
			m := p.missing
			m.Started = p.mayHaveRun
			c.Missing = append(c.Missing, m)
		}
	}
	if int(c.Covered)+len(c.Missing) != len(g.shards) {
		g.run.router.onViolation("coverage_adds_up", fmt.Sprintf("%d covered, %d missing, %d shards", c.Covered, len(c.Missing), len(g.shards)))
	}
	return c
}

// answer merges the rows and totals of the covered shards.
func (g *scatterGather) answer(c Coverage) Answer {
	contract := g.run.contract
	merged := merger.Merge(contract.Merge, contract.RowLimit, merger.Part{Rows: g.rows, Total: g.total})
	a := Answer{Coverage: c, Manifest: g.run.manifest, Rows: merged.Rows}
	if contract.Merge == manifestreader.MergeSum {
		a.Total = merged.Total
	}
	return a
}
