package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/cmd/standin/internal/checker"
	"banyandock.example/banyandock/cmd/standin/internal/controller"
	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	controlTimeout = 10 * time.Second
	// executionsBatch is the maximum number of requests in one call of /v1/executions.
	executionsBatch = 10_000
)

// errControl is returned if a control port does not respond or responds with an error status.
var errControl = eris.New("request to the control port of backend servers failed")

// snapshot is the sum of the counters of all processes at one time.
type snapshot struct {
	counts      responder.Counts
	repeated    int
	shardCounts map[identifier.IndexVersion]uint32
}

func (l *Loader) readCounters(ctx context.Context) (snapshot, error) {
	s := snapshot{shardCounts: make(map[identifier.IndexVersion]uint32)}
	for _, control := range l.settings.Controls {
		var r controller.Report
		if err := l.control(ctx, http.MethodGet, control, "/v1/counters", nil, &r); err != nil {
			return s, err
		}
		s.repeated += r.Keys.Repeated
		for _, server := range r.Servers {
			if server.Service != l.settings.Service {
				continue
			}
			s.counts = s.counts.Plus(server.Counts)
			for version, count := range server.ShardCounts {
				s.shardCounts[version] = count
			}
		}
	}
	return s, nil
}

// checkNotRun queries the backend servers for requests that were refused as not run and counts a
// violation for each of them that was started.
func (l *Loader) checkNotRun(ctx context.Context) error {
	for refused := l.result.refused; len(refused) > 0; {
		batch := refused[:min(executionsBatch, len(refused))]
		refused = refused[len(batch):]
		for _, control := range l.settings.Controls {
			var reply controller.ExecutionsReply
			request := controller.ExecutionsRequest{Requests: batch}
			if err := l.control(ctx, http.MethodPost, control, "/v1/executions", request, &reply); err != nil {
				return err
			}
			for id := range reply.Started {
				l.log.Error().Str("request", id).Msg("a request refused as not run was run")
				l.result.Violations[checker.ViolationWasRun]++
			}
		}
	}
	return nil
}

// control sends one request to a control port and decodes the reply. It ignores the cancellation of
// ctx, because the counters at the end of the run must be read even after a signal; it is called
// only before and after the run.
func (l *Loader) control(ctx context.Context, method string, address netip.AddrPort, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		b, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return err
	}
	response, err := l.client.Do(r)
	if err != nil {
		return eris.Wrap(errControl, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(errControl, "%s responded with %s", address, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(reply)
}
