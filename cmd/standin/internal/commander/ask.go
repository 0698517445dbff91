package commander

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/cmd/standin/internal/merger"
)

// askCommand sends one query and prints the answer. It fails unless the answer has the expected
// outcome and the expected value of repeated.
type askCommand struct {
	Dock       netip.AddrPort `arg:"--dock,required" placeholder:"ADDRESS" help:"caller address of a dock"`
	Service    string         `arg:"--service,required"`
	Operation  string         `arg:"--operation,required"`
	Caller     string         `arg:"--caller,required"`
	Body       string         `arg:"--body" default:"{}" placeholder:"JSON"`
	Timeout    time.Duration  `arg:"--timeout" default:"1s"`
	Key        string         `arg:"--key" help:"idempotency key"`
	RoutingKey string         `arg:"--routing-key" help:"what selects the shard of a request to one shard"`
	Outcome    string         `arg:"--outcome" default:"complete" help:"the outcome to expect"`
	Repeated   bool           `arg:"--repeated" help:"expect the answer of an earlier request with the same key"`
	Rows       int            `arg:"--rows" default:"2" help:"how many rows to print"`
}

func (c *askCommand) run(ctx context.Context, s streams) error {
	begin := time.Now()
	status, body, err := sendRequest(ctx, http.MethodPost, c.url(), []byte(c.Body), c.header())
	if err != nil {
		return err
	}
	elapsed := time.Since(begin)
	var a merger.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return eris.Wrapf(errRequest, "%v: %s", err, body)
	}
	s.print("%s/%s by %s: status %d after %s\n", c.Service, c.Operation, c.Caller, status, elapsed.Round(time.Microsecond))
	c.printAnswer(s, a)
	if a.Outcome.String() != c.Outcome || a.Repeated != c.Repeated {
		return eris.Wrapf(errRequest, "got outcome %s and repeated %t, want outcome %s and repeated %t", a.Outcome, a.Repeated, c.Outcome, c.Repeated)
	}
	return nil
}

func (c *askCommand) url() string {
	return "http://" + c.Dock.String() + "/v1/query/" + c.Service + "/" + c.Operation
}

func (c *askCommand) header() http.Header {
	h := http.Header{}
	h.Set("Banyandock-Caller", c.Caller)
	h.Set("Banyandock-Timeout-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.Key != "" {
		h.Set("Idempotency-Key", c.Key)
	}
	if c.RoutingKey != "" {
		h.Set("Banyandock-Routing-Key", c.RoutingKey)
	}
	return h
}

func (c *askCommand) printAnswer(s streams, a merger.Answer) {
	s.print("  request %s, outcome %s %s, was run %t, repeated %t\n", a.Request, a.Outcome, a.Code, a.WasRun, a.Repeated)
	s.print("  covers %d of %d shards of index version %d, under manifest %d\n", a.Coverage.Covered, a.Coverage.Shards, a.IndexVersion, a.Manifest)
	for _, m := range a.Coverage.Missing {
		s.print("  missing shard %d: %s, started %t\n", m.Shard, m.Reason, m.Started)
	}
	if a.Total != 0 {
		s.print("  total %g\n", a.Total)
	}
	for i, r := range a.Rows {
		if i == c.Rows {
			s.print("  and %d rows more\n", len(a.Rows)-i)
			return
		}
		s.print("  shard %d, score %.4f: %s\n", r.Shard, r.Score, r.Value)
	}
}
