package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// lossAfter is when a keeper loses its disk after the first start, and downTime how long it is down.
	lossAfter = time.Second
	downTime  = 500 * time.Millisecond
	// ackTimeout is the time within which a valid configuration must be acknowledged while the core is
	// stable, and orderTime is how long the operator goes on sending it.
	ackTimeout = 5 * time.Second
	orderTime  = 60 * time.Second
)

// diskLostAtFirstStart starts the whole system for the first time. With the disruption, one seed loses power
// and its disk a second later, and comes back. The operator sends the first configuration until it is
// acknowledged. Service may be suspended until the recovery time after all machines are back.
func diskLostAtFirstStart(d *deployment, hasTrouble bool) (verdict, error) {
	const lost = 2
	if err := d.startKeepers(); err != nil {
		return verdict{}, err
	}
	if err := d.startDock(firstDock); err != nil {
		return verdict{}, err
	}
	time.Sleep(lossAfter)
	if hasTrouble {
		d.records.add("host %d loses power and its disk", lost)
		d.signal(lost, syscall.SIGKILL)
		d.wait(lost)
		if err := os.RemoveAll(d.dataFolder(lost)); err != nil {
			return verdict{}, err
		}
		time.Sleep(downTime)
		if err := d.startKeeper(lost, false); err != nil {
			return verdict{}, err
		}
	}
	dueFrom := time.Now().Add(recoveryTime)
	text := configuration(1, []string{"archive"}, nil)
	for time.Now().Before(dueFrom.Add(orderTime)) {
		for host := 1; host <= keeperCount; host++ {
			status, _ := d.call(http.MethodPut, "http://"+d.address(host, portControl)+"/api/config", text)
			d.records.trace(time.Now(), "PUT /api/config at host %d: status %d", host, status)
			if status != http.StatusOK {
				continue
			}
			late := time.Since(dueFrom)
			return verdict{isBroken: late > ackTimeout, detail: fmt.Sprintf("host %d acknowledged the first configuration %.1f s after the recovery time", host, late.Seconds())}, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.describeKeepers([]int{1, 2, 3, 4, 5})
	status, _ := d.call(http.MethodGet, "http://"+d.address(firstDock, portReady)+"/api/ready", "")
	return verdict{isBroken: true, detail: fmt.Sprintf("no keeper acknowledged the first configuration in %s from then on; the dock's readiness is %d", orderTime, status)}, nil
}
