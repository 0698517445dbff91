package commander

import (
	"context"
	"strings"

	"banyandock.example/banyandock/internal/differ"
	"banyandock.example/banyandock/internal/launcher"
)

// diffCommand shows what a new manifest changes.
type diffCommand struct {
	Old string `arg:"positional,required" help:"manifest in force"`
	New string `arg:"positional,required" help:"manifest to come"`
}

func (c *diffCommand) run(_ context.Context, t terminal) int {
	before, _, code := readManifest(c.Old, t)
	if before == nil {
		return code
	}
	after, _, code := readManifest(c.New, t)
	if after == nil {
		return code
	}
	t.print("%s", strings.TrimSuffix(differ.Compare(before, after).String(), "\n"))
	return launcher.ExitOK
}
