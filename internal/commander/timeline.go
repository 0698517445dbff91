package commander

import (
	"context"
	"os"
	"time"

	"github.com/google/uuid"

	"banyandock.example/banyandock/internal/collector"
	"banyandock.example/banyandock/internal/drawer"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/tracer"
)

// timelineCommand shows the events of all processes in one order.
type timelineCommand struct {
	Keepers keeperAddresses `arg:"--keepers,required" help:"link addresses of keepers, with commas between them"`
	Since   time.Duration   `arg:"--since" default:"10m" help:"how far to look back"`
	Request string          `arg:"--request" help:"show only the events of the request with this identifier"`
	HTML    string          `arg:"--html" placeholder:"FILE" help:"write one self-contained page instead of text"`
	Timeout time.Duration   `arg:"--timeout" default:"20s" help:"how long to wait for all answers"`
}

func (c *timelineCommand) run(ctx context.Context, t terminal) int {
	q := tracer.EventsRequest{Since: tracer.NewTimestamp(time.Now().Add(-c.Since))}
	if c.Request != "" {
		request, err := uuid.Parse(c.Request)
		if err != nil {
			t.warn("error: --request: %q is not a request identifier", c.Request)
			return launcher.ExitUsage
		}
		q.Request = identifier.RequestID(request)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	pool := newPool()
	defer func() { _ = pool.Close() }()
	processes := collector.New(collector.Remote{Pool: pool})
	keepers := processes.Keepers(ctx, c.Keepers)
	timeline := processes.Timeline(ctx, collector.Sources(keepers), q)
	return c.show(t, timeline)
}

// show prints the timeline or writes it as a page, and returns the exit code. If the events of some
// processes are missing, it shows those of the others and returns ExitFailure.
func (c *timelineCommand) show(t terminal, timeline collector.Timeline) int {
	code := launcher.ExitOK
	for _, s := range timeline.Sources {
		if s.Err != nil {
			t.warn("error: events of %s %s at %s are missing: %v", s.Program, s.Host, s.Address, s.Err)
			code = launcher.ExitFailure
		}
		if s.IsTruncated {
			t.warn("warning: %s %s holds more events than are shown; use a shorter --since", s.Program, s.Host)
		}
	}
	if c.HTML == "" {
		for _, e := range timeline.Events {
			t.print("%s", e)
		}
		return code
	}
	if err := c.writePage(timeline); err != nil {
		t.warn("error: %v", err)
		return launcher.ExitFailure
	}
	t.print("%s: %d events of %d processes", c.HTML, len(timeline.Events), len(timeline.Sources))
	return code
}

// writePage writes the timeline as an HTML page.
func (c *timelineCommand) writePage(timeline collector.Timeline) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := drawer.Draw(file, timeline); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
