package commander

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/submitter"
	"banyandock.example/banyandock/internal/tomlreader"
)

// checkCommand lists all problems of a manifest.
type checkCommand struct {
	File string `arg:"positional,required" help:"manifest in TOML"`
}

func (c *checkCommand) run(_ context.Context, t terminal) int {
	m, _, code := readManifest(c.File, t)
	if m == nil {
		return code
	}
	t.print("%s: ok: number %d, %d contracts, digest %s", c.File, m.Number, len(m.Contracts), m.Digest)
	return launcher.ExitOK
}

// readManifest reads and parses a manifest. If it fails, it prints the problems and returns a nil
// manifest and the exit code of the command.
func readManifest(path string, t terminal) (m *manifestreader.Manifest, text []byte, code int) {
	text, err := tomlreader.ReadFile(path, manifestreader.MaxBytes)
	if err != nil {
		t.warn("error: %v", err)
		return nil, nil, launcher.ExitUsage
	}
	m, err = manifestreader.Parse(text)
	if err == nil {
		return m, text, launcher.ExitOK
	}
	var problems manifestreader.Problems
	if eris.As(err, &problems) {
		t.warn("%s", problems.InFile(path))
	} else {
		t.warn("error: %s: %v", path, err)
	}
	return nil, nil, launcher.ExitUsage
}

// submitCommand submits a manifest and waits until it is in force.
type submitCommand struct {
	File    string          `arg:"positional,required" help:"manifest in TOML"`
	Keepers keeperAddresses `arg:"--keepers,required" help:"link addresses of keepers, with commas between them"`
	Timeout time.Duration   `arg:"--timeout" default:"30s" help:"how long to wait for all"`
	Docks   int             `arg:"--docks" placeholder:"N" help:"number of docks that the deployment should have; fewer are a failure"`
	NoWait  bool            `arg:"--no-wait" help:"do not wait until the manifest is in force"`
	Verbose bool            `arg:"--verbose,-v" help:"tell what is waited for"`
}

func (c *submitCommand) run(ctx context.Context, t terminal) int {
	m, text, code := readManifest(c.File, t)
	if m == nil {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	pool := newPool()
	defer func() { _ = pool.Close() }()
	s := submitter.New(submitter.Remote{Pool: pool}, c.Keepers, submitter.WithProgress(c.progress(t)), submitter.WithDocks(c.Docks))
	if err := s.Submit(ctx, encoder.ManifestText{Number: m.Number, Digest: m.Digest, Text: text}); err != nil {
		t.warn("error: manifest %d: %v", m.Number, err)
		if eris.Is(err, submitter.ErrInvalid) {
			return launcher.ExitUsage
		}
		return launcher.ExitFailure
	}
	t.print("manifest %d: accepted", m.Number)
	if c.NoWait {
		return launcher.ExitOK
	}
	return c.await(ctx, t, s, m.Number)
}

// await waits until the manifest is in force, prints the docks that apply it and returns the exit
// code.
func (c *submitCommand) await(ctx context.Context, t terminal, s *submitter.Submitter, number uint64) int {
	status, err := s.Await(ctx, number)
	if err != nil {
		t.warn("error: manifest %d: %v", number, err)
		return launcher.ExitFailure
	}
	t.print("manifest %d: %s", number, status)
	for _, host := range status.Applied {
		t.print("  %s", host)
	}
	if status.Highest > number {
		t.print("manifest %d: superseded by number %d meanwhile", number, status.Highest)
	}
	return launcher.ExitOK
}

// progress returns the function that prints progress lines. It does nothing without --verbose.
func (c *submitCommand) progress(t terminal) func(line string) {
	if !c.Verbose {
		return func(string) {}
	}
	return func(line string) { t.warn("%s", line) }
}
