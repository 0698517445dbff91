package commander

import (
	"fmt"

	"banyandock.example/banyandock/internal/encoder"
)

// showQuotas prints one row for each customer that is near its quota. It prints nothing if there are none,
// as in deployments without customers.
func showQuotas(t terminal, status encoder.StatusReply) {
	if len(status.Quotas) == 0 {
		return
	}
	t.print("")
	w := t.table()
	row(w, "CUSTOMER", "ASKED", "GRANTED", "LIMIT", "USE", "RATE", "BURST", "LEFT")
	for _, q := range status.Quotas {
		row(w, q.Customer, fmt.Sprintf("%.0f", q.Asked), fmt.Sprintf("%.0f", q.Granted), fmt.Sprintf("%.0f", q.Limit),
			fmt.Sprintf("%.0f%%", 100*q.Asked/max(q.Limit, 1)), fmt.Sprintf("%g/s", q.Rate), fmt.Sprintf("%g", q.Burst), fmt.Sprintf("%.1f", q.Left))
	}
	_ = w.Flush()
}
