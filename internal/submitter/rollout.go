package submitter

import (
	"fmt"
	"slices"
	"strings"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Force says on which docks a manifest is in force.
type Force struct {
	Number uint64
	// Expected is the number of docks that must apply the manifest, or zero.
	Expected int
	// Applied are the docks that apply the number or a higher one.
	Applied []identifier.HostName
	// Behind are the docks that report a lower number.
	Behind []identifier.HostName
	// Silent are the docks that have not reported for some seconds. A silent dock finds by
	// itself that it is cut off, and then refuses requests or names the manifest it serves.
	Silent []identifier.HostName
	// Gone are the docks that the leader knew when the wait began and dropped since.
	Gone []identifier.HostName
	// Highest is the highest number that a dock applies.
	Highest uint64
}

// next sorts the leader's docks anew.
func (f Force) next(status encoder.StatusReply) Force {
	n := Force{Number: f.Number, Expected: f.Expected}
	var known []identifier.HostName
	for _, d := range status.Docks {
		known = append(known, d.Host.Name)
		n.Highest = max(n.Highest, d.Manifest)
		switch {
		case d.Heard > silenceLimit:
			n.Silent = append(n.Silent, d.Host.Name)
		case d.Manifest >= f.Number:
			n.Applied = append(n.Applied, d.Host.Name)
		default:
			n.Behind = append(n.Behind, d.Host.Name)
		}
	}
	for _, name := range slices.Concat(f.Applied, f.Behind, f.Silent, f.Gone) {
		if !slices.Contains(known, name) {
			n.Gone = append(n.Gone, name)
		}
	}
	return n
}

// total is the number of docks that the leader knows.
func (f Force) total() int { return len(f.Applied) + len(f.Behind) + len(f.Silent) }

// IsEverywhere says whether at least one dock and as many as expected are known, and all
// known docks apply the manifest.
func (f Force) IsEverywhere() bool {
	return len(f.Applied) >= max(1, f.Expected) && len(f.Applied) == f.total()
}

// String tells on how many docks the manifest is in force, and where it is not.
func (f Force) String() string {
	text := "no dock has reported to the leading keeper"
	if f.total() > 0 {
		text = fmt.Sprintf("in force on %d of %d docks", len(f.Applied), f.total())
	}
	if f.Expected > f.total() {
		text += fmt.Sprintf("; %d docks are expected", f.Expected)
	}
	return text + named("not yet on", f.Behind) + named("not heard from", f.Silent) + named("no longer known to the keepers:", f.Gone)
}

// named renders a list of hosts behind a label, or nothing if it is empty.
func named(label string, names []identifier.HostName) string {
	if len(names) == 0 {
		return ""
	}
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return "; " + label + " " + strings.Join(texts, ", ")
}
