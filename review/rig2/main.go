// Command rig2 runs the script cases of the second review.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig2 CASE PROGRAMS FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[3] + "/record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	temporary, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	code := exitNotRun
	switch os.Args[1] {
	case "bodies":
		code = runBodies(temporary, os.Args[2], r, hasTrouble)
	case "reshard":
		code = runReshard(temporary, os.Args[2], r, hasTrouble)
	}
	r.printf("exit %d", code)
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(temporary)
	}
	os.Exit(code)
}
