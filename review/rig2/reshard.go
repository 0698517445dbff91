package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case "reshard".
const (
	reshardKeepers  = 3
	reshardDocks    = 8
	reshardMemoryMB = 206
	// reshardTimeout and reshardTarget are those of daily-cause-list, and reshardCoverage is its share of the shards.
	reshardTimeout  = 800 * time.Millisecond
	reshardTarget   = 120 * time.Millisecond
	reshardCoverage = 0.95
	// reshardClients is how many clients call each dock, each with one request at a time.
	reshardClients = 6
	// reshardGap is the time between two configurations, and reshardTime how long they change.
	reshardGap  = 500 * time.Millisecond
	reshardTime = 60 * time.Second
	callerKey   = "key-1"
)

// shardSets are the names of the shards before and after the index is cut anew.
var shardSets = map[string]int{"a": 40, "b": 60}

// gatherCheck checks gathered answers by the rule MIXED.
type gatherCheck struct {
	deployment *deployment
	sequence   atomic.Int64

	mutex    sync.Mutex
	statuses map[int]int
	broken   int
	tasks    sync.WaitGroup
}

// runReshard names another set of shards again and again while callers send queries.
func runReshard(folder, programs string, r *record, hasTrouble bool) int {
	d, err := newDeployment(folder, programs, reshardKeepers, reshardDocks, reshardMemoryMB, r)
	if err != nil {
		r.printf("%v", err)
		return exitNotRun
	}
	d.start()
	defer d.stop()
	names := map[string][]string{}
	all := []service{}
	servers := []*server{}
	for _, set := range []string{"a", "b"} {
		for i := range shardSets[set] {
			name := fmt.Sprintf("%s%02d", set, i)
			names[set] = append(names[set], name)
			all = append(all, service{Name: name, HealthCheckPath: "/health", MaxConnections: 90, Protocol: "h1"})
			s, err := startServer("i-"+name, name, d.ip(100), d.controls(), 8, 12, 2*time.Millisecond)
			if err != nil {
				r.printf("%v", err)
				return exitNotRun
			}
			defer s.stop()
			servers = append(servers, s)
		}
	}
	version := func(n int, set string) configuration {
		return configuration{
			Version: n, Limits: pageLimits, Services: all, Tenants: []tenant{{Name: "tenant-1", APIKeys: []string{callerKey}, RatePerS: 5000, BurstSize: 5000}},
			Routes: []route{{
				Name: "r-sweep", Host: host, PathPrefix: "/sweep/", Type: "idempotent", TimeoutMs: int(reshardTimeout.Milliseconds()),
				TargetMs: int(reshardTarget.Milliseconds()), Priority: 1, MaxAttempts: 2, TopK: 10, MinCoverage: reshardCoverage, Shards: names[set],
			}},
		}
	}
	if !d.configure(version(1, "a"), 20*time.Second) || !d.awaitReady(20*time.Second) {
		r.printf("the deployment did not start")
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := &gatherCheck{deployment: d, statuses: map[int]int{}}
	for i, p := range d.docks {
		for n := range reshardClients {
			g.tasks.Add(1)
			go g.run(ctx, p, fmt.Sprintf("%s.%d", d.subnet, 120+(i*reshardClients+n)%100))
		}
	}
	sets := []string{"b", "a"}
	for n, end := 2, time.Now().Add(reshardTime); time.Now().Before(end); n++ {
		time.Sleep(reshardGap)
		if hasTrouble && !d.configure(version(n, sets[n%2]), 5*time.Second) {
			r.printf("version %d was not acknowledged", n)
		}
	}
	time.Sleep(time.Second)
	cancel()
	g.tasks.Wait()
	r.printf("sent: %d queries; answers by status: %v; the servers ran %d requests", g.sequence.Load(), g.statuses, countRuns(servers))
	if g.statuses[http.StatusOK] < 1000 {
		r.printf("too few answers")
		return exitNotRun
	}
	if g.broken > 0 {
		r.printf("MIXED broken by %d answers", g.broken)
		return exitBroken
	}
	r.printf("MIXED held")
	return exitHeld
}

// run is one client, with a kept connection.
func (g *gatherCheck) run(ctx context.Context, p *process, from string) {
	defer g.tasks.Done()
	for ctx.Err() == nil {
		g.connect(ctx, p, from)
		time.Sleep(50 * time.Millisecond)
	}
}

// connect sends requests over one connection until that ends.
func (g *gatherCheck) connect(ctx context.Context, p *process, from string) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	socket, err := dialer.DialContext(ctx, "tcp", g.deployment.address(p.ip, portCaller))
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for ctx.Err() == nil {
		id := fmt.Sprintf("q%08d", g.sequence.Add(1))
		_ = socket.SetDeadline(time.Now().Add(reshardTimeout + 2*time.Second))
		_, err := fmt.Fprintf(socket, "GET /sweep/x HTTP/1.1\r\nHost: %s\r\nX-Banyandock-Request-Id: %s\r\nX-Banyandock-Deadline-Ms: %d\r\nX-Banyandock-Key: %s\r\n\r\n",
			host, id, reshardTimeout.Milliseconds(), callerKey)
		if err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		g.check(p, id, response)
		if err != nil || response.Close {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// check applies the rule: the parts of a success and the number of missing ones make up one set of shards.
func (g *gatherCheck) check(p *process, id string, response *http.Response) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.statuses[response.StatusCode]++
	if response.StatusCode != http.StatusOK {
		return
	}
	parts := map[string]int{}
	seen := map[string]bool{}
	count := 0
	isForeign := false
	for _, stamp := range strings.Split(strings.Join(response.Header.Values("X-Banyandock-Shard-Stamps"), ","), ",") {
		fields := strings.Split(strings.TrimSpace(stamp), ".")
		if len(fields) != 3 || fields[2] != id || seen[fields[0]] {
			isForeign = true
			continue
		}
		seen[fields[0]] = true
		parts[strings.TrimPrefix(fields[0], "i-")[:1]]++
		count++
	}
	missing, _ := strconv.Atoi(response.Header.Get("X-Banyandock-Shards-Missing"))
	isOneSet := len(parts) == 1
	for set := range parts {
		isOneSet = isOneSet && count+missing == shardSets[set]
	}
	if isForeign || !isOneSet {
		g.broken++
		g.deployment.record.printf("MIXED: %s answers %s with parts %v and %d missing; the sets have %v", p.name, id, parts, missing, shardSets)
	}
}
