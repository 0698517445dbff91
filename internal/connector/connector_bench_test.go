package connector

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/measurer"
)

// BenchmarkRun measures the processor time of one subrequest over HTTP, including that of the
// backend server, with many subrequests in flight.
func BenchmarkRun(b *testing.B) {
	for _, protocol := range encoder.ServerProtocolValues() {
		b.Run(protocol.String(), func(b *testing.B) {
			backend := httptest.NewUnstartedServer(http.HandlerFunc(echo))
			var protocols http.Protocols
			protocols.SetHTTP1(protocol == encoder.ProtocolHTTP1)
			protocols.SetUnencryptedHTTP2(protocol == encoder.ProtocolHTTP2)
			backend.Config.Protocols = &protocols
			backend.Start()
			defer backend.Close()
			server := encoder.Server{
				Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
				Service: "plates", Protocol: protocol, Slots: 64, Connections: 64, Incarnation: 1,
			}
			c := New()
			defer func() { _ = c.Close() }()
			c.Prepare(server, 64)
			b.ReportAllocs()
			b.SetParallelism(4)
			start := measurer.ProcessorTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := c.Run(b.Context(), server, makeSubrequest(1)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64((measurer.ProcessorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/subrequest")
		})
	}
}
