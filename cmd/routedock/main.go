// Command routedock runs on every entry host of a routed deployment: it forwards callers'
// opaque requests to backend servers and gathers their answers.
package main

// A package that uses cgo links the program against the system's C library.

import "C"

import (
	"os"

	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/routedockrunner"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/platform"
)

func main() {
	os.Exit(launcher.Main("routedock", settingsreader.ReadRouteDock, routedockrunner.Runner(platform.DockAdapter())))
}
