package submitter

import (
	"fmt"
	"slices"
	"strings"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// RolloutStatus lists the docks on which a manifest is and is not in force.
type RolloutStatus struct {
	Number uint64
	// Expected is the least number of docks that must apply the manifest. Zero means that the docks
	// known to the leader are enough.
	Expected int
	// Applied are the docks that apply this number or a higher one.
	Applied []identifier.HostName
	// Behind are the docks that report a lower number.
	Behind []identifier.HostName
	// Silent are the docks that have not reported for some seconds. A silent dock detects by itself
	// that it is partitioned. It then refuses requests or reports the manifest that it serves.
	Silent []identifier.HostName
	// Gone are the docks that the leader has dropped since the wait began.
	Gone []identifier.HostName
	// Highest is the highest number that a dock applies.
	Highest uint64
}

// updated returns the status that follows from the leader's current list of docks.
func (s RolloutStatus) updated(status encoder.StatusReply) RolloutStatus {
	next := RolloutStatus{Number: s.Number, Expected: s.Expected}
	var known []identifier.HostName
	for _, d := range status.Docks {
		known = append(known, d.Host.Name)
		next.Highest = max(next.Highest, d.Manifest)
		switch {
		case d.Heard > maxReportAge:
			next.Silent = append(next.Silent, d.Host.Name)
		case d.Manifest >= s.Number:
			next.Applied = append(next.Applied, d.Host.Name)
		default:
			next.Behind = append(next.Behind, d.Host.Name)
		}
	}
	for _, name := range slices.Concat(s.Applied, s.Behind, s.Silent, s.Gone) {
		if !slices.Contains(known, name) {
			next.Gone = append(next.Gone, name)
		}
	}
	return next
}

// dockCount returns the number of docks that the leader lists.
func (s RolloutStatus) dockCount() int { return len(s.Applied) + len(s.Behind) + len(s.Silent) }

// IsComplete reports whether the leader lists at least one dock and at least Expected docks, and
// all of them apply the manifest.
func (s RolloutStatus) IsComplete() bool {
	return len(s.Applied) >= max(1, s.Expected) && len(s.Applied) == s.dockCount()
}

// String describes on how many docks the manifest is in force, and on which it is not.
func (s RolloutStatus) String() string {
	text := "no dock has reported to the leading keeper"
	if s.dockCount() > 0 {
		text = fmt.Sprintf("in force on %d of %d docks", len(s.Applied), s.dockCount())
	}
	if s.Expected > s.dockCount() {
		text += fmt.Sprintf("; %d docks are expected", s.Expected)
	}
	return text + formatHosts("not yet on", s.Behind) + formatHosts("not heard from", s.Silent) + formatHosts("no longer known to the keepers:", s.Gone)
}

// formatHosts returns a label followed by a list of hosts, or an empty string if the list is empty.
func formatHosts(label string, names []identifier.HostName) string {
	if len(names) == 0 {
		return ""
	}
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return "; " + label + " " + strings.Join(texts, ", ")
}
