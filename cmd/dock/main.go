// Command dock runs on every entry host: it takes callers' requests and owns shards.
package main

import (
	"os"

	"banyandock.example/banyandock/internal/dockrunner"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/settingsreader"
)

func main() { os.Exit(launcher.Main("dock", settingsreader.ReadDock, dockrunner.Run)) }
