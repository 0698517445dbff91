// Package differ describes the differences between two manifests: the callers and services that are
// affected, and for which of them limits become tighter or looser.
package differ

import (
	"cmp"
	"maps"
	"slices"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

// Change is a change of one contract. It is Added, Removed or Altered.
type Change interface {
	isChange()
	// subject returns the changed contract, in its new version if it was altered.
	subject() manifestreader.Contract
}

// Added is a contract that exists only in the new manifest.
type Added struct {
	Contract manifestreader.Contract
}

// Removed is a contract that exists only in the old manifest.
type Removed struct {
	Contract manifestreader.Contract
}

// Altered is a contract that exists in both manifests with different terms.
type Altered struct {
	Old, New manifestreader.Contract
	Terms    []Term
}

func (Added) isChange()   {}
func (Removed) isChange() {}
func (Altered) isChange() {}

func (a Added) subject() manifestreader.Contract   { return a.Contract }
func (r Removed) subject() manifestreader.Contract { return r.Contract }
func (a Altered) subject() manifestreader.Contract { return a.New }

// Report is the difference between two manifests.
type Report struct {
	OldNumber uint64
	NewNumber uint64
	// IsSameText is true if the texts of the two manifests are identical, that is, have the same
	// digest.
	IsSameText bool
	// Changes are in order of caller, service and operation.
	Changes   []Change
	Unchanged int
	// Rates are the services whose admitted rate changes, in order of name.
	Rates []ServiceRate
}

// ServiceRate is the sum of the rates, in requests per second, of all contracts for a service.
type ServiceRate struct {
	Service identifier.ServiceName
	Old     float64
	New     float64
}

// Compare returns the difference between two manifests.
func Compare(old, new *manifestreader.Manifest) Report {
	r := Report{
		OldNumber:  old.Number,
		NewNumber:  new.Number,
		IsSameText: old.Digest == new.Digest,
		Rates:      compareRates(old, new),
	}
	for _, c := range new.Contracts {
		before, exists := old.Contract(c.Caller, c.Service, c.Operation)
		switch {
		case !exists:
			r.Changes = append(r.Changes, Added{Contract: c})
		case before != c:
			r.Changes = append(r.Changes, Altered{Old: before, New: c, Terms: compareTerms(before, c)})
		default:
			r.Unchanged++
		}
	}
	for _, c := range old.Contracts {
		if _, exists := new.Contract(c.Caller, c.Service, c.Operation); !exists {
			r.Changes = append(r.Changes, Removed{Contract: c})
		}
	}
	slices.SortFunc(r.Changes, func(a, b Change) int { return compareSubjects(a.subject(), b.subject()) })
	return r
}

// compareSubjects orders contracts by caller, service and operation.
func compareSubjects(a, b manifestreader.Contract) int {
	return cmp.Or(
		cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Operation, b.Operation),
	)
}

// Callers returns the callers with changed contracts, in order of name.
func (r Report) Callers() []identifier.CallerName {
	touched := map[identifier.CallerName]bool{}
	for _, c := range r.Changes {
		touched[c.subject().Caller] = true
	}
	return slices.Sorted(maps.Keys(touched))
}

// Services returns the services with changed contracts, in order of name.
func (r Report) Services() []identifier.ServiceName {
	touched := map[identifier.ServiceName]bool{}
	for _, c := range r.Changes {
		touched[c.subject().Service] = true
	}
	return slices.Sorted(maps.Keys(touched))
}

// compareRates returns the services whose summed rate differs, in order of name.
func compareRates(old, new *manifestreader.Manifest) []ServiceRate {
	before, after := rates(old), rates(new)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var changed []ServiceRate
	for _, service := range slices.Sorted(maps.Keys(all)) {
		if before[service] != after[service] {
			changed = append(changed, ServiceRate{Service: service, Old: before[service], New: after[service]})
		}
	}
	return changed
}

// rates returns the sum of the rates of all contracts for each service.
func rates(m *manifestreader.Manifest) map[identifier.ServiceName]float64 {
	sums := map[identifier.ServiceName]float64{}
	for _, c := range m.Contracts {
		sums[c.Service] += c.RatePerSecond
	}
	return sums
}
