package manifestreader

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const lookup = `
[[contract]]
caller = "press-hall"
service = "pressroom_desk"
operation = "lookup"
urgency = "urgent"
idempotent = true
merge = "top_k"
row_limit = 20
deadline = "250ms"
rate_per_second = 50
concurrency = 8
minimum_coverage = 0.95
when_stale = "serve"
`

const reorder = `
[[contract]]
caller = "press-hall"
service = "pressroom_desk"
operation = "reorder"
urgency = "urgent"
idempotent = false
scope = "one"
merge = "concatenate"
deadline = "2s"
rate_per_second = 0.5
concurrency = 2
minimum_coverage = 1.0
`

// expectProblems parses a text and compares its problems with want, one per line.
func expectProblems(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := Parse([]byte(text))
	if len(want) == 0 {
		assert.NilError(t, err)
		return
	}
	assert.Assert(t, err != nil, "no problems")
	assert.Equal(t, err.Error(), strings.Join(want, "\n"))
}

// changed returns a manifest with one contract, in which the first occurrence of old is replaced.
func changed(contract, old, new string) string {
	return "number = 7\n" + strings.Replace(contract, old, new, 1)
}

func TestParseReadsContracts(t *testing.T) {
	m, err := Parse([]byte("number = 7\n" + lookup + reorder))
	assert.NilError(t, err)
	assert.Equal(t, m.Number, uint64(7))
	assert.Equal(t, m.Digest, Digest([]byte("number = 7\n"+lookup+reorder)))
	c, exists := m.Contract("press-hall", "pressroom_desk", "lookup")
	assert.Assert(t, exists)
	assert.Equal(t, c, Contract{
		Caller: "press-hall", Service: "pressroom_desk", Operation: "lookup",
		Urgency: Urgent, Idempotent: true, Scope: ScopeAll, Merge: MergeTopK, RowLimit: 20,
		Deadline: 250 * time.Millisecond, RatePerSecond: 50, Concurrency: 8, MinimumCoverage: 0.95, WhenStale: StaleServe,
	})
	c, exists = m.Contract("press-hall", "pressroom_desk", "reorder")
	assert.Assert(t, exists)
	assert.Assert(t, !c.Idempotent && c.Scope == ScopeOne && c.WhenStale == StaleRefuse)
	_, exists = m.Contract("press-hall", "pressroom_desk", "delete")
	assert.Assert(t, !exists)
}

func TestParseReportsSingleProblems(t *testing.T) {
	expectProblems(t, "", "1: number: is missing")
	expectProblems(t, "number = 0", "1: number: must be from 1 to 9223372036854775807, not 0")
	expectProblems(t, "number = \"7\"", "1: number: must be a whole number without quotes")
	expectProblems(t, "number = 7\nnumber = 8", "2: number: is already set on line 1")
	expectProblems(t, "number = 7\nnumer = 8", "2: numer: is not a known key; did you mean number?")
	expectProblems(t, "number = 7\n[[contracts]]\n", "2: contracts: is not a known table; did you mean contract?")
	expectProblems(t, changed(lookup, "\"250ms\"", "250"), `11: deadline: must be a duration in quotes with a unit, such as "250ms" or "5s"`)
	expectProblems(t, changed(lookup, "\"250ms\"", "\"250\""), `11: deadline: "250" is not a duration with a unit, such as "250ms" or "5s"`)
	expectProblems(t, changed(lookup, "\"250ms\"", "\"0s\""), `11: deadline: must be from 1ms to 1m0s, not 0s`)
	expectProblems(t, changed(lookup, "0.95", "95"), "14: minimum_coverage: must be from 0 to 1, not 95")
	expectProblems(t, changed(lookup, "0.95", "nan"), "14: minimum_coverage: nan is not a decimal number")
	expectProblems(t, changed(lookup, "= 50", "= -1"), "12: rate_per_second: must be from 0.0002777777777777778 to 1e+07, not -1")
	expectProblems(t, changed(lookup, "\"urgent\"", "\"Urgent\""), `7: urgency: must be one of "urgent", "routine", not "Urgent"`)
	expectProblems(t, changed(lookup, "true", "\"yes\""), "8: idempotent: must be true or false, without quotes")
	expectProblems(t, changed(lookup, "row_limit = 20\n", ""), `9: merge: "top_k" needs row_limit`)
	expectProblems(t, changed(lookup, "top_k", "sum"), `10: row_limit: applies only to merge = "top_k"`)
	expectProblems(t, changed(lookup, "press-hall", "press hall"),
		`4: caller: "press hall" may hold only the letters a to z and A to Z, digits, underscores and hyphens`)
}

func TestParseReportsInconsistentContracts(t *testing.T) {
	expectProblems(t, changed(reorder, "scope = \"one\"\n", ""), `8: idempotent: false needs scope = "one"`)
	expectProblems(t, changed(reorder, "1.0", "0.9"), "14: minimum_coverage: must be 1 where idempotent is false")
	expectProblems(t, changed(reorder, "minimum_coverage", "when_stale = \"serve\"\nminimum_coverage"),
		`14: when_stale: must be "refuse" where idempotent is false`)
	expectProblems(t, "number = 7\n"+lookup+lookup,
		"18: caller: press-hall, pressroom_desk, lookup: the contract on line 3 has the same caller, service and operation")
	other := strings.NewReplacer("press-hall", "office", "\"reorder\"", "\"lookup\"").Replace(reorder)
	expectProblems(t, "number = 7\n"+lookup+other, "22: idempotent: differs from the contract on line 3 for the same operation")
}

func TestParseReportsAllProblems(t *testing.T) {
	text := `number = x
[[contract]]
caller = "a"
deadline = 250ms
urgency = "soon"
rate_per_second = 1
`
	expectProblems(t, text,
		"1: number: syntax: unexpected character U+0078 'x' at start of value; texts, durations and addresses need quotes: \"x\"",
		"2: service: is missing",
		"2: operation: is missing",
		"2: idempotent: is missing",
		"2: merge: is missing",
		"2: concurrency: is missing",
		"2: minimum_coverage: is missing",
		"4: deadline: syntax: strings must be quoted; texts, durations and addresses need quotes: \"250ms\"",
		`5: urgency: must be one of "urgent", "routine", not "soon"`,
	)
}

func TestContractIsFoundWithoutIndex(t *testing.T) {
	m := &Manifest{Contracts: []Contract{{Caller: "a", Service: "b", Operation: "c", RowLimit: 3}}}
	for _, m := range []*Manifest{m, New(1, "", m.Contracts...)} {
		c, exists := m.Contract("a", "b", "c")
		assert.Assert(t, exists)
		assert.Equal(t, c.RowLimit, 3)
		_, exists = m.Contract("a", "b", "d")
		assert.Assert(t, !exists)
	}
}

func TestParseLimitsSizeContractsAndProblems(t *testing.T) {
	_, err := Parse(make([]byte, MaxBytes+1))
	assert.ErrorContains(t, err, "more than the limit")
	_, err = Parse([]byte("number = 1\n" + strings.Repeat("[[contract]]\n", maxContracts+5)))
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Assert(t, len(problems) <= 101)
	assert.ErrorContains(t, err, "more problems")
}

// FuzzParse checks that every manifest that is parsed without an error is within the limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte("number = 7\n" + lookup + reorder))
	f.Add([]byte("number = 1_000\n[[contract]]\nx.y = {a = 1}\n\"\" = [[[]]]\n"))
	f.Add([]byte("number = 0x10\n[contract]\n[[contract.contract]]\n'''"))
	f.Add([]byte("number = +1e400\r\n\x00[[\n= = =\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Parse(text)
		if err != nil {
			var problems Problems
			assert.Assert(t, errors.As(err, &problems) && len(problems) > 0)
			lines := 1 + bytes.Count(text, []byte("\n"))
			for _, p := range problems {
				assert.Assert(t, p.Line >= 1 && p.Line <= lines && p.Text != "", "%v", p)
			}
			return
		}
		assert.Assert(t, m.Number >= 1)
		for _, c := range m.Contracts {
			assert.Assert(t, c.Deadline > 0 && c.Deadline <= maxDeadline && c.RatePerSecond > 0 && c.Concurrency > 0)
			assert.Assert(t, c.MinimumCoverage >= 0 && c.MinimumCoverage <= 1)
			assert.Assert(t, c.Idempotent || c.Scope == ScopeOne)
			found, exists := m.Contract(c.Caller, c.Service, c.Operation)
			assert.Assert(t, exists && found == c)
		}
	})
}
