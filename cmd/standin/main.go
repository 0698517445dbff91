// Command standin emulates the systems around banyandock during development: it runs backend
// servers whose faults can be switched on and off, and it generates load.
package main

import (
	"os"

	"banyandock.example/banyandock/cmd/standin/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
