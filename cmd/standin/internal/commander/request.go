package commander

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// pollInterval is the time between two readiness checks of a process that is not ready.
const pollInterval = 100 * time.Millisecond

// errRequest is returned for a request whose response is not the expected one.
var errRequest = eris.New("request failed")

// awaitCommand waits until all given processes pass their readiness checks.
type awaitCommand struct {
	Ready   []netip.AddrPort `arg:"positional,required" placeholder:"ADDRESS" help:"addresses that serve /readyz"`
	Timeout time.Duration    `arg:"--timeout" default:"30s"`
}

func (c *awaitCommand) run(ctx context.Context, _ streams) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for _, a := range c.Ready {
		if err := awaitReady(ctx, a); err != nil {
			return eris.Wrapf(err, "%s is not ready", a)
		}
	}
	return nil
}

func awaitReady(ctx context.Context, a netip.AddrPort) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, body, err := sendRequest(ctx, http.MethodGet, "http://"+a.String()+"/readyz", nil, nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = eris.Wrapf(errRequest, "status %d: %s", status, body)
			}
			return err
		case <-ticker.C:
		}
	}
}

// postCommand sends one request to a control port and prints the reply.
type postCommand struct {
	Control netip.AddrPort `arg:"--control,required" placeholder:"ADDRESS" help:"control port of backend servers"`
	Path    string         `arg:"positional,required" help:"such as /v1/faults"`
	Body    string         `arg:"positional,required" help:"JSON"`
}

func (c *postCommand) run(ctx context.Context, s streams) error {
	status, body, err := sendRequest(ctx, http.MethodPost, "http://"+c.Control.String()+c.Path, []byte(c.Body), nil)
	if err != nil {
		return err
	}
	s.print("%s\n", body)
	if status != http.StatusOK {
		return eris.Wrapf(errRequest, "status %d", status)
	}
	return nil
}

// sendRequest sends one HTTP request and returns the status and the body of the response.
func sendRequest(ctx context.Context, method, url string, body []byte, header http.Header) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, bytes.TrimSpace(reply), nil
}
