package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

// benchmarkShards is the number of shards of a query.
const benchmarkShards = 90

// fixedServer answers every request on its connections with the same part.
type fixedServer struct {
	listener net.Listener
}

func (s *fixedServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&fixedConnection{c}).run()
	}
}

// fixedConnection serves one connection.
type fixedConnection struct {
	net.Conn
}

func (c *fixedConnection) run() {
	reader := bufio.NewReader(c)
	body := make([]byte, 400)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest: id-1\r\nStamp: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkScatter measures the processor time of one query to all shards, including the time that
// the test servers use.
func BenchmarkScatter(b *testing.B) {
	s := sender.New(testProtocol{}, timekeeper.System{}, metrics.NewRegistry())
	f := forwarder.New(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1}, s, timekeeper.System{}, zerolog.Nop(), measurer.New())
	services := map[identifier.ServiceName][]locator.Server{}
	c := matcher.Configuration{Number: 1}
	scatter := matcher.Scatter{RowLimit: 20, MinimumCoverage: 0.9}
	for i := range benchmarkShards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer func() { _ = listener.Close() }()
		go (&fixedServer{listener}).run()
		name := identifier.ServiceName(fmt.Sprintf("shard-%d", i))
		services[name] = []locator.Server{{Registration: encoder.Registration{
			ID: encoder.ServerID(fmt.Sprint(i)), Service: name, Address: netip.MustParseAddrPort(listener.Addr().String()), Slots: 2,
		}}}
		scatter.Services = append(scatter.Services, name)
		c.Services = append(c.Services, matcher.Service{Name: name, Connections: 50})
	}
	c.Routes = []matcher.Route{{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, Timeout: 10 * time.Second, LatencyTarget: 5 * time.Second, Destination: scatter}}
	table, err := matcher.Compile(c)
	assert.NilError(b, err)
	f.Configure(table)
	f.UpdateServers(services)
	b.ReportAllocs()
	for b.Loop() {
		o := f.Handle(context.Background(), &forwarder.Request{
			Request: sender.Request{ID: "id-1", Method: "GET", Target: "/x/y", Host: "a.example", Header: http.Header{"Request": {"id-1"}, "Accept": {"*/*"}, "User-Agent": {"c"}}},
			Path:    "/x/y", Arrived: time.Now(),
		})
		if g, ok := o.(forwarder.Gathered); !ok || g.Missing > 0 {
			b.Fatalf("%T %+v", o, o)
		}
	}
	b.StopTimer()
	f.Close()
	s.Close()
}
