package processes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// endlessServers is the number of servers, one of each shard, that send without end, and soundServers that of the
	// other shards. An answer needs soundServers of all shards.
	endlessServers = 8
	soundServers   = 16
	// endlessCallers is the number of callers that each send one request after another for endlessTime.
	endlessCallers = 24
	endlessTime    = 6 * time.Second
	// endlessPause is the time between two blocks of blockBytes. A body at that pace reaches the limit of bodies in
	// a second.
	endlessPause = 15 * time.Millisecond
	blockBytes   = 64 << 10
	// endlessDescriptors is the limit of descriptors of a dock with that many servers.
	endlessDescriptors = 4096
)

// endlessReply returns a function that writes a block without end, after the status line and some headers.
func endlessReply(start, block string, pause time.Duration) func(c net.Conn) {
	repeated := []byte(strings.Repeat(block, 1+blockBytes/len(block)))
	return func(c net.Conn) {
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(repeated)
			time.Sleep(pause)
		}
	}
}

// TestRoutedockWithstandsServersWithoutEnd guards against a dock that holds what faulty servers send without end, in a
// head or in a body, for many requests at once, also after these have been answered.
func TestRoutedockWithstandsServersWithoutEnd(t *testing.T) {
	for name, replies := range map[string][]func(c net.Conn){
		"bodies": {
			endlessReply("\r\n", "x", endlessPause),
			endlessReply("Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", endlessPause),
			endlessReply(fmt.Sprintf("Content-Length: %d\r\n\r\n", longBytes), "x", 20*endlessPause),
		},
		"heads": {
			endlessReply("", "A: \r\n", endlessPause),
			endlessReply("Name: ", "x", endlessPause),
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startRouted(t, crowdMemory)
			d.restartDock(endlessDescriptors)
			d.routeToEndless(replies)
			f := watch(t, d.docks[0])
			answered, asked := d.callWhile(endlessTime)
			close(f.stop)
			f.tasks.Wait()
			peak := f.peakMemory()
			t.Logf("%d MB of %d; %d of %d ordinary requests answered", peak/1e6, int(memoryBound)/1e6, answered, asked)
			assert.Check(t, peak <= memoryBound, "%d bytes resident", peak)
			assert.Check(t, answered > 0, "%d ordinary requests answered", answered)
			d.awaitAnswer("/short/x")
		})
	}
}

// restartDock starts the dock again with a limit of descriptors.
func (d *routed) restartDock(descriptors int) {
	d.docks[0].kill(d.t)
	d.docks[0].descriptors = descriptors
	d.docks[0].start(d.t)
	d.awaitAnswer("/short/x")
}

// routeToEndless adds a service whose servers send without end, and a route to the shards of these and of sound ones.
func (d *routed) routeToEndless(replies []func(c net.Conn)) {
	shards := []string{}
	for i := range endlessServers + soundServers {
		options := []standin.Option{}
		if i < endlessServers {
			options = append(options, standin.WithReply(replies[i%len(replies)]))
		}
		name := fmt.Sprintf("shard-%d", i)
		b, err := standin.NewBackend(name, name, "domain-0", netip.MustParseAddrPort("127.0.0.1:0"),
			[]string{d.control(0), d.control(1), d.control(2)}, 300*time.Millisecond, func(standin.Execution) {}, options...)
		assert.NilError(d.t, err)
		d.t.Cleanup(b.Close)
		shards = append(shards, name)
	}
	text := standin.Configuration(2, []standin.Route{
		{Prefix: "/short/", Timeout: 2 * time.Second, Service: "short"},
		{Prefix: "/long/", Timeout: 2 * time.Second, Service: "long"},
		{Prefix: "/endless/", Timeout: 2 * time.Second, Service: shards[0]},
		{Prefix: "/shards/", Timeout: 2 * time.Second, LatencyTarget: 150 * time.Millisecond, Shards: shards, RowLimit: 10, Coverage: 0.6},
	})
	d.await("configuration is accepted", func() bool { return standin.Submit(d.t.Context(), &d.client, d.control(0), text) })
	d.awaitAnswer("/shards/x")
}

// callWhile sends requests that reach servers without end for a time. It returns how many requests to a sound server
// were answered and sent meanwhile.
func (d *routed) callWhile(duration time.Duration) (answered, asked int) {
	callers := sync.WaitGroup{}
	end := time.Now().Add(duration)
	for i := range endlessCallers {
		path := []string{"/shards/x", "/shards/x", "/endless/x"}[i%3]
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				d.call(path, fmt.Sprint(i, "-", n))
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		asked++
		if d.call("/short/x", fmt.Sprint("short-", n)) {
			answered++
		}
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return answered, asked
}

// call sends a request over a connection of its own and reports whether it was answered.
func (d *routed) call(path, id string) bool {
	ctx, cancel := context.WithTimeout(d.t.Context(), 3*time.Second)
	defer cancel()
	return standin.SendRequest(ctx, &d.client, d.callers(), path, id, 2*time.Second).IsSuccess()
}
