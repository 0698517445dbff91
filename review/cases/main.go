// Command review-cases plays the cases of the review that are scripts. Each case starts keepers and
// docks as processes on loopback addresses, simulates the platform around them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	detail   string
}

// cases holds the function of each case by its name on the command line. hasTrouble tells whether the
// disruption is played.
var cases = map[string]func(d *deployment, hasTrouble bool) (verdict, error){
	"replaced-while-frozen":    replacedWhileFrozen,
	"departure-elsewhere":      departureElsewhere,
	"leaving-in-answers":       leavingInAnswers,
	"disk-lost-at-first-start": diskLostAtFirstStart,
}

func main() {
	os.Exit(run())
}

// run plays the case that the command line names and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD, in the root of the repository")
		return exitNotRun
	}
	records, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer records.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	records.add("case %s, with the disruption: %t", os.Args[1], hasTrouble)
	d, err := newDeployment(records)
	if err != nil {
		records.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	results := make(chan int, 1)
	go func() { results <- play(d, os.Args[1], hasTrouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-results:
		return code
	case <-signals:
		records.add("the case was interrupted")
	case <-time.After(maxRunTime):
		records.add("the case took longer than %s", maxRunTime)
	}
	return exitNotRun
}

// play plays a case and returns the exit code.
func play(d *deployment, name string, hasTrouble bool) int {
	v, err := cases[name](d, hasTrouble)
	switch {
	case err != nil:
		d.records.add("the case could not run: %v", err)
		return exitNotRun
	case v.isBroken:
		d.records.add("BROKEN: %s", v.detail)
		return exitBroken
	default:
		d.records.add("HELD: %s", v.detail)
		return exitHeld
	}
}
