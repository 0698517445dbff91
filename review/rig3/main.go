package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 115 * time.Second

// caseFunc runs a case. With isTroubled, it brings about the disruption. It reports whether the rule was broken.
type caseFunc func(e *environment) (isBroken bool, err error)

// environment is what a case runs in.
type environment struct {
	programs   string
	record     *record
	isTroubled bool
}

// cases holds the cases by name.
var cases = map[string]caseFunc{
	"signature": runSignature,
	"crowd":     runCrowd,
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
	time.AfterFunc(caseTimeout, func() {
		r.say("the case took longer than %s", caseTimeout)
		r.close()
		os.Exit(exitNotRun)
	})
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
