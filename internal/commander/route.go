package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
)

const (
	// maxKeyBytes bounds a key file, so that a wrong file is not sent to the dock.
	maxKeyBytes = 4 << 10
	// routeCallTimeout is how long the dock's answer is waited for.
	routeCallTimeout = 5 * time.Second
)

// routeCommand asks a routed dock what it would do with a request. The key is no argument, because other
// users of the machine can read the arguments of processes.
type routeCommand struct {
	Dock    netip.AddrPort `arg:"--dock,required" placeholder:"ADDRESS" help:"link address of a routed dock"`
	Host    string         `arg:"--host,required" help:"host of the request"`
	Path    string         `arg:"--path,required" help:"path of the request, with its query"`
	Method  string         `arg:"--method" default:"GET" help:"method of the request"`
	KeyFile string         `arg:"--key-file" placeholder:"FILE" help:"file with the customer's key; - for standard input"`
	Timeout time.Duration  `arg:"--timeout" help:"how long the caller waits; without it, as long as the route allows"`
	JSON    bool           `arg:"--json" help:"print the answer as JSON, with times in nanoseconds"`
}

func (c *routeCommand) run(ctx context.Context, t terminal) int {
	key, err := c.readKey()
	if err != nil {
		t.warn("error: %v", err)
		return launcher.ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, routeCallTimeout)
	defer cancel()
	pool := newPool()
	defer func() { _ = pool.Close() }()
	request := encoder.RouteRequest{Method: c.Method, Host: c.Host, Path: c.Path, Key: key, Timeout: c.Timeout}
	reply, err := linker.Call[encoder.RouteRequest, encoder.RouteReply](ctx, pool.Link(c.Dock), encoder.KindRoute, request)
	if err != nil {
		t.warn("error: dock at %s: %v", c.Dock, err)
		return launcher.ExitFailure
	}
	if !c.JSON {
		showRoute(t, reply)
		return launcher.ExitOK
	}
	text, err := json.MarshalIndent(reply, "", "  ")
	if err != nil {
		t.warn("error: %v", err)
		return launcher.ExitFailure
	}
	t.print("%s", text)
	return launcher.ExitOK
}

// readKey reads the key, which is empty if there is no file.
func (c *routeCommand) readKey() (matcher.Key, error) {
	if c.KeyFile == "" {
		return "", nil
	}
	file := os.Stdin
	if c.KeyFile != "-" {
		var err error
		if file, err = os.Open(c.KeyFile); err != nil {
			return "", err
		}
		defer func() { _ = file.Close() }()
	}
	text, err := io.ReadAll(io.LimitReader(file, maxKeyBytes+1))
	if err != nil {
		return "", eris.Wrap(err, "read the key")
	}
	if len(text) > maxKeyBytes {
		return "", eris.Errorf("%s: a key has at most %d bytes", c.KeyFile, maxKeyBytes)
	}
	return matcher.Key(strings.TrimSpace(string(text))), nil
}
