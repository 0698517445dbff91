// Command routekeeper runs on the hosts with a disk of a routed deployment: it replicates the
// configuration and keeps the directory of backend servers.
package main

// A package that uses cgo links the program against the system's C library.

import "C"

import (
	"os"

	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/routekeeperrunner"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/platform"
)

func main() {
	os.Exit(launcher.Main("routekeeper", settingsreader.ReadRouteKeeper, routekeeperrunner.Runner(platform.KeeperAdapter())))
}
