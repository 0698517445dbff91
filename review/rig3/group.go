package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// lossTime is when a core machine is lost for good, after the start of all machines.
	lossTime = time.Second
	// successorDelay is how long after that another machine takes its place.
	successorDelay = time.Second
	// recoveryTime and catchUpTime are recoverS and catchUpS of the site, and ackTime is ackTimeoutMs.
	recoveryTime = 12 * time.Second
	catchUpTime  = 4 * time.Second
	ackTime      = 5 * time.Second
	// orderTime is how long the operator sends its order after that.
	orderTime = 30 * time.Second
)

// runGroup lets the platform take one core machine away for good in the first second and put another in its place, at
// another address and with an empty disk. The operator's first order must be acknowledged afterwards.
func runGroup(e *environment) (bool, error) {
	d, err := newDeployment(e, 1)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(lossTime)
	if e.isTroubled {
		lost := d.keepers[0]
		e.record.say("%s is removed for good", lost.name)
		lost.kill()
		time.Sleep(successorDelay)
		if err := d.addSuccessor(); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUpTime + recoveryTime)
	began := time.Now()
	for n := 0; time.Since(began) < orderTime; n++ {
		i := n % len(d.keepers)
		if d.keepers[i].hasEnded() {
			continue
		}
		status, detail, err := d.call(context.Background(), http.MethodPut, d.controlAddress(i), "/api/config", singleConfiguration("idempotent"))
		e.record.add("order to %s: %d %s, error %v", d.keepers[i].name, status, strings.TrimSpace(detail), err)
		switch {
		case err == nil && status == http.StatusOK:
			e.record.say("the order is acknowledged after %s", time.Since(began).Round(time.Millisecond))
			return time.Since(began) > ackTime, nil
		case err == nil && status < http.StatusInternalServerError:
			return false, errors.New("the order is refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
	alive := 0
	for _, p := range d.keepers {
		if !p.hasEnded() {
			alive++
		}
	}
	e.record.say("no acknowledgement within %s, though %d keepers run", orderTime, alive)
	return true, nil
}

// addSuccessor starts a core machine at a new address with an empty disk.
func (d *deployment) addSuccessor() error {
	i := len(d.keepers)
	p := &process{name: fmt.Sprintf("keeper-%d", i+1), program: "routekeeper"}
	d.record.say("%s takes its place", p.name)
	d.keepers = append(d.keepers, p)
	return d.startNew(p, d.keeperSettings(i, false))
}
