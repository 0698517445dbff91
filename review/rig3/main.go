package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// caseFunc runs a case. With isTroubled, it brings about the disruption. It reports whether the rule was broken.
type caseFunc func(e *environment) (isBroken bool, err error)

// environment is what a case runs in.
type environment struct {
	programs   string
	record     *record
	isTroubled bool
	// deployment is the one that the case has started, so that it can be ended at any time.
	deployment atomic.Pointer[deployment]
}

// endEarly ends the case without a result when it takes too long or at a signal.
func (e *environment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-signals:
		e.record.say("ended by %s", s)
	case <-time.After(caseTimeout):
		e.record.say("the case took longer than %s", caseTimeout)
	}
	if d := e.deployment.Load(); d != nil {
		d.close()
	}
	e.record.close()
	os.Exit(exitNotRun)
}

// cases holds the cases by name.
var cases = map[string]caseFunc{
	"signature": runSignature,
	"crowd":     runCrowd,
	"allotment": runAllotment,
	"group":     runGroup,
	"bodies":    runBodies,
}

func main() { os.Exit(run()) }

// run runs the case that the command line names, in the folder that it names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	e := &environment{programs: "target", record: r, isTroubled: os.Getenv("TROUBLE") != "0"}
	r.say("case %s, disruption: %t", os.Args[1], e.isTroubled)
	go e.endEarly()
	isBroken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		r.say("not run: %v", err)
		return exitNotRun
	case isBroken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
