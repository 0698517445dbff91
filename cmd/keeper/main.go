// Command keeper runs on the few hosts with a disk: it replicates the manifest and the
// ledger and publishes the view of hosts and backend servers.
package main

import (
	"os"

	"banyandock.example/banyandock/internal/keeperrunner"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/settingsreader"
)

func main() { os.Exit(launcher.Main("keeper", settingsreader.ReadKeeper, keeperrunner.Run)) }
