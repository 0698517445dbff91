package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the frozen machine stands still.
	freezeTime = 4 * time.Second
	// readBackTime is how long the operator reads the configuration back: recoveryS and
	// stabilityWindowMs, and some seconds more.
	readBackTime = recoveryTime + stabilityWindow + 4*time.Second
)

// replacedWhileFrozen replaces a machine of the core as planned, the new one first. With the disruption,
// another one is frozen while both run. Long after, the final fault strikes right after a configuration
// was acknowledged: all machines lose power and two lose their disks. The configuration must be read back.
func replacedWhileFrozen(d *deployment, hasTrouble bool) (verdict, error) {
	const newHost = keeperCount + 1
	all := []int{1, 2, 3, 4, 5}
	if err := d.startKeepers(); err != nil {
		return verdict{}, err
	}
	if err := d.putConfiguration(configuration(1, []string{"archive"}, nil), all); err != nil {
		return verdict{}, err
	}
	time.Sleep(catchUp + 2*time.Second)
	leader, ok := d.leader(all)
	if !ok {
		return verdict{}, fmt.Errorf("no keeper leads")
	}
	d.records.add("host %d leads", leader)
	old := 5
	if leader == old {
		old = 4
	}
	d.records.add("planned replacement: host %d comes, host %d will leave", newHost, old)
	if err := d.startKeeper(newHost, false); err != nil {
		return verdict{}, err
	}
	time.Sleep(catchUp / 2)
	if hasTrouble {
		d.records.add("host %d is frozen for %s", leader, freezeTime)
		d.signal(leader, syscall.SIGSTOP)
	}
	time.Sleep(catchUp / 2)
	d.terminate(old)
	time.Sleep(freezeTime - catchUp/2)
	d.records.add("host %d goes on", leader)
	d.signal(leader, syscall.SIGCONT)
	left := append(slices.DeleteFunc(all, func(h int) bool { return h == old }), newHost)
	time.Sleep(3 * catchUp)
	d.describeKeepers(left)
	version := 2
	text := configuration(version, []string{"archive", "invoice"}, nil)
	if err := d.putConfiguration(text, left); err != nil {
		return verdict{}, err
	}
	if err := d.loseDisks(left, leader); err != nil {
		return verdict{}, err
	}
	return d.readBack(left, text), nil
}

// loseDisks makes all hosts lose power, and two of them, other than spared, their disks. All start again.
func (d *deployment) loseDisks(hosts []int, spared int) error {
	for _, host := range hosts {
		d.signal(host, syscall.SIGKILL)
	}
	for _, host := range hosts {
		d.wait(host)
	}
	lost := slices.DeleteFunc(slices.Clone(hosts), func(h int) bool { return h == spared })[:2]
	d.records.add("final fault: hosts %v lose power, and %v their disks", hosts, lost)
	for _, host := range lost {
		if err := os.RemoveAll(d.dataFolder(host)); err != nil {
			return err
		}
	}
	time.Sleep(700 * time.Millisecond)
	for _, host := range hosts {
		if err := d.startKeeper(host, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reads the configuration at all hosts in turn, until one returns the acknowledged one or the
// time is over.
func (d *deployment) readBack(hosts []int, acknowledged string) verdict {
	answers := map[string]int{}
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, host := range hosts {
			text, status, ok := d.readConfiguration(host)
			d.records.trace(time.Now(), "GET /api/config at host %d: status %d", host, status)
			answers[fmt.Sprintf("status %d", status)]++
			if ok && text == acknowledged {
				return verdict{detail: fmt.Sprintf("host %d returns the configuration that was acknowledged last", host)}
			}
			if ok {
				return verdict{isBroken: true, detail: fmt.Sprintf("host %d returns another configuration: %s", host, text)}
			}
		}
	}
	d.describeKeepers(hosts)
	counts := []string{}
	for answer, n := range answers {
		counts = append(counts, fmt.Sprintf("%s %d times", answer, n))
	}
	return verdict{isBroken: true, detail: fmt.Sprintf("no host returned the acknowledged configuration within %s (%s)", readBackTime, strings.Join(counts, ", "))}
}
