package announcer

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestUnreachableDockIsSkipped checks that an announcement reaches the next dock if the first one
// is unreachable, and that Notify announces a change without waiting for the interval.
func TestUnreachableDockIsSkipped(t *testing.T) {
	received := make(chan Announcement, 10)
	dock := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusNoContent)
		received <- a
	}))
	defer dock.Close()
	reachable := dock.Listener.Addr().(*net.TCPAddr).AddrPort()
	unreachable := netip.MustParseAddrPort("127.255.255.1:1")
	server := encoder.Server{Service: "desk", Incarnation: 7, Holdings: []encoder.Holding{{Version: 1, Shard: 2, ShardCount: 3}}}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	a := New(func() (encoder.Server, bool) { return server, true }, []netip.AddrPort{unreachable, reachable}, 0, time.Hour, client)
	a.Start()
	defer a.Close()
	first := <-received
	assert.DeepEqual(t, first.Holdings, []Holding{{Version: 1, Shard: 2, ShardCount: 3}})
	a.Notify()
	<-received
}
