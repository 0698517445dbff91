package commander

import (
	"context"
	"os"

	"banyandock.example/banyandock/internal/explainer"
	"banyandock.example/banyandock/internal/launcher"
)

// explainCommand explains the outcome of one request from log files.
type explainCommand struct {
	Request string   `arg:"positional,required" help:"identifier of the request"`
	Files   []string `arg:"positional,required" help:"log files of any processes, in any order"`
}

func (c *explainCommand) run(_ context.Context, t terminal) int {
	log := explainer.NewLog()
	for _, path := range c.Files {
		if err := addFile(log, path); err != nil {
			t.warn("error: %v", err)
			return launcher.ExitFailure
		}
	}
	log.WriteUnreadable(t.err)
	explanation, err := log.Explain(c.Request)
	if err != nil {
		t.warn("error: %v; plain successes are only counted", err)
		return launcher.ExitFailure
	}
	explanation.Write(t.out)
	return launcher.ExitOK
}

// addFile adds the lines of the file at path to the log.
func addFile(log *explainer.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.Add(path, file)
}
