// Command dockctl checks, compares and submits manifests and shows the state of a
// deployment.
package main

import (
	"os"

	"banyandock.example/banyandock/internal/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
