package commander

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"banyandock.example/banyandock/internal/collector"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/recorder"
)

// statusCommand shows the state of a deployment.
type statusCommand struct {
	Keepers keeperAddresses `arg:"--keepers,required" help:"link addresses of keepers, with commas between them"`
	Timeout time.Duration   `arg:"--timeout" default:"5s" help:"how long to wait for all answers"`
}

func (c *statusCommand) run(ctx context.Context, t terminal) int {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	pool := newPool()
	defer func() { _ = pool.Close() }()
	keepers := collector.New(collector.Remote{Pool: pool}).Keepers(ctx, c.Keepers)
	leader, hasLeader := collector.Leader(keepers)
	showKeepers(t, keepers)
	showEvacuated(t, keepers)
	if !hasLeader {
		t.warn("error: no leading keeper with a settled view answered; docks are not shown")
		return launcher.ExitFailure
	}
	showLeader(t, leader)
	showDocks(t, leader.Status)
	showQuotas(t, leader.Status)
	return launcher.ExitOK
}

// table returns a writer for a table with aligned columns. Its Flush prints the table.
func (t terminal) table() *tabwriter.Writer {
	return tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
}

// row adds a row of cells to a table.
func row(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}

// showKeepers prints one row per keeper, and a warning for each keeper that is unreachable.
func showKeepers(t terminal, keepers []collector.Keeper) {
	w := t.table()
	row(w, "KEEPER", "ADDRESS", "ROLE", "TERM", "LOG", "COMMIT", "MANIFEST", "FOLLOWS")
	for _, k := range keepers {
		if k.Err != nil {
			row(w, "?", k.Address, "unreachable")
			continue
		}
		p := k.Status.Poll
		row(w, p.Keeper, k.Address, role(k), p.Term, fmt.Sprintf("%d/%d", p.LastLogTerm, p.LastLogIndex),
			p.CommitIndex, manifestNumber(p), orNone(string(p.Leader)))
	}
	_ = w.Flush()
	for _, k := range keepers {
		if k.Err != nil {
			t.warn("warning: keeper at %s: %v", k.Address, k.Err)
		}
	}
}

// showEvacuated prints the evacuated failure domains, if there are any, as the keeper knows them that has applied
// most.
func showEvacuated(t terminal, keepers []collector.Keeper) {
	newest := encoder.StatusReply{}
	for _, k := range keepers {
		if k.Err == nil && k.Status.Poll.CommitIndex >= newest.Poll.CommitIndex {
			newest = k.Status
		}
	}
	if len(newest.Evacuated) > 0 {
		t.print("evacuated: %s", strings.Join(recorder.Texts(newest.Evacuated), ", "))
	}
}

// role renders a keeper's role in the group.
func role(k collector.Keeper) string {
	switch {
	case k.IsLeading():
		return "leader"
	case k.Status.Poll.Leader == k.Status.Poll.Keeper:
		return "leader, view not settled"
	case k.Status.Poll.Voter:
		return "voter"
	default:
		return "learner"
	}
}

// manifestNumber renders the number of the committed manifest and of one that is not committed yet.
func manifestNumber(p encoder.PollReply) string {
	text := "none"
	if p.ManifestNumber > 0 {
		text = fmt.Sprint(p.ManifestNumber)
	}
	if p.PendingManifest > 0 {
		text += fmt.Sprintf(" (%d pending)", p.PendingManifest)
	}
	return text
}

// orNone returns s, or "none" if s is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// showLeader prints the state that only the leader has.
func showLeader(t terminal, leader collector.Keeper) {
	p := leader.Status.Poll
	t.print("")
	t.print("leader:          %s, term %d", p.Keeper, p.Term)
	t.print("manifest:        %s", manifestNumber(p))
	t.print("backend servers: %d", leader.Status.Servers)
	t.print("ledger entries:  %d", leader.Status.Claims)
	t.print("docks:           %d", len(leader.Status.Docks))
}

// showDocks prints one row per dock. It prints nothing if there are no docks.
func showDocks(t terminal, status encoder.StatusReply) {
	if len(status.Docks) == 0 {
		return
	}
	t.print("")
	w := t.table()
	row(w, "DOCK", "DOMAIN", "ADDRESS", "STATE", "MANIFEST", "EPOCH", "HEARD")
	for _, d := range status.Docks {
		row(w, d.Host.Name, d.Host.Domain, d.Host.Address, d.Host.State, d.Manifest, d.Epoch,
			d.Heard.Round(time.Millisecond).String()+" ago")
	}
	_ = w.Flush()
}
