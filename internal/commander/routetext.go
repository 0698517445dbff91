package commander

import (
	"fmt"
	"strings"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// showRoute prints what a dock would do with a request.
func showRoute(t terminal, r encoder.RouteReply) {
	t.print("dock:      %s%s", orNone(string(r.Dock)), dockState(r))
	route := "none"
	if r.Route != "" {
		route = r.Route
	}
	t.print("route:     %s, configuration %d", route, r.Configuration)
	t.print("customer:  %s%s", orNone(string(r.Customer)), keyText(r))
	if q := r.Quota; q != nil {
		t.print("quota:     %g/s, burst %g, a permit is needed; %s", q.Rate, q.Burst, useText(*q))
	}
	if r.Route != "" {
		t.print("priority:  %d", r.Priority)
	}
	if r.Quarantine > 0 {
		t.print("quarantine: for another %s", short(r.Quarantine))
	}
	if r.IsSuspect {
		t.print("suspected: sent to one server first")
	}
	if a := r.Admission; a != nil {
		t.print("admission: %.0f%% of the route's requests%s%s", 100*a.Share, flag(a.IsCongested, ", servers congested"), flag(a.IsResubmission, ", counts as refused before"))
	}
	showSending(t, r)
	t.print("outcome:   %s", outcomeText(r))
}

// dockState renders what is unusual about a dock.
func dockState(r encoder.RouteReply) string {
	return flag(!r.IsFresh, ", not in contact with a majority of the keepers") +
		flag(r.IsDetached, ", cut off from the servers") + flag(r.IsStopping, ", stopping")
}

// flag returns text if a condition holds.
func flag(holds bool, text string) string {
	if holds {
		return text
	}
	return ""
}

// keyText renders the hash of the key.
func keyText(r encoder.RouteReply) string {
	if r.KeyHash == "" {
		return ", no key"
	}
	return ", key " + r.KeyHash
}

// useText renders the recent use of a quota.
func useText(q encoder.RouteQuota) string {
	if q.Age == 0 && q.Use == 0 {
		return "recent use not known"
	}
	return fmt.Sprintf("recent use %.2f times the mean, %s ago", q.Use, short(q.Age))
}

// showSending prints which docks and servers would get the request.
func showSending(t terminal, r encoder.RouteReply) {
	for _, s := range r.Senders {
		t.print("sender:    %s, %d of %d services", orNone(string(s.Dock)), s.Services, r.Services)
	}
	if r.Services > 1 {
		t.print("choices:   %d services get their best server of this failure domain", r.Near)
	}
	for _, c := range r.Choices {
		showChoice(t, c)
	}
	if h := r.Hedge; h != nil {
		t.print("hedge:     after %s if the budget has repeats to spare, at the latest after %s", short(h.Early), short(h.Latest))
	}
}

// showChoice prints the choice of one service.
func showChoice(t terminal, c encoder.RouteChoice) {
	t.print("service %s:", c.Service)
	w := t.table()
	if s := c.Server; s != nil {
		row(w, "  chosen", s.Server, s.Domain, scoreText(*s), seenText(*s), flag(s.NeedsToken, "needs a token"))
	} else {
		row(w, "  none", c.Denied)
	}
	for _, s := range c.Passed {
		row(w, "  passed over", s.Server, s.Domain, scoreText(s), seenText(s), strings.Join(s.Causes, ", "))
	}
	_ = w.Flush()
}

// scoreText renders a score.
func scoreText(s encoder.RouteServer) string {
	if s.Score == 0 {
		return "no score"
	}
	return fmt.Sprintf("score %.2f", s.Score)
}

// seenText renders the age of the last observation of a server.
func seenText(s encoder.RouteServer) string {
	if s.Seen < 0 {
		return "never seen"
	}
	return "seen " + short(s.Seen) + " ago"
}

// outcomeText renders what the caller would get.
func outcomeText(r encoder.RouteReply) string {
	switch {
	case r.Refusal != nil && r.Refusal.After == 0:
		return "refused, " + r.Refusal.Reason
	case r.Refusal != nil:
		return fmt.Sprintf("refused, %s, retry after %s", r.Refusal.Reason, short(r.Refusal.After))
	case r.IsRelayed:
		return "handed over to a dock that can reach servers"
	default:
		return "sent"
	}
}

// short rounds a time for people.
func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
