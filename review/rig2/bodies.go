package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case "bodies".
const (
	bodiesKeepers = 3
	bodiesDocks   = 8
	bodiesShards  = 40
	// bodiesMemoryMB is memory_mb of an entry host of the deployment in demands/calverley-lists-grown.toml.
	bodiesMemoryMB = 136
	// bodiesTimeout is the time limit of lot-search.
	bodiesTimeout = 2500 * time.Millisecond
	// bodiesCrowd is how many uncontrolled clients connect to each dock.
	bodiesCrowd = 110
	// bodiesTime is how long the crowd sends.
	bodiesTime = 55 * time.Second
	// minMachines and minEnds are those of the rule: on a tenth of the machines, two at least, three ends.
	minMachines = 2
	minEnds     = 3
)

// runBodies lets a crowd send whole bodies of the largest legal size to a route over many shards.
func runBodies(folder, programs string, r *record, hasTrouble bool) int {
	d, err := newDeployment(folder, programs, bodiesKeepers, bodiesDocks, bodiesMemoryMB, r)
	if err != nil {
		r.printf("%v", err)
		return exitNotRun
	}
	d.start()
	defer d.stop()
	c := configuration{Version: 1, Limits: pageLimits}
	sweep := route{
		Name: "r-sweep", Host: host, PathPrefix: "/sweep/", Type: "idempotent", TimeoutMs: int(bodiesTimeout.Milliseconds()), TargetMs: 150,
		Priority: 1, MaxAttempts: 2, TopK: 20, MinCoverage: 0.89,
	}
	servers := []*server{}
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	for i := range bodiesShards {
		name := fmt.Sprintf("shard%02d", i)
		sweep.Shards = append(sweep.Shards, name)
		c.Services = append(c.Services, service{Name: name, HealthCheckPath: "/health", MaxConnections: 90, Protocol: "h1"})
		for n := range 2 {
			s, err := startServer(fmt.Sprintf("i-%02d-%d", i, n), name, d.ip(100), d.controls(), 2, 12, 20*time.Millisecond)
			if err != nil {
				r.printf("%v", err)
				return exitNotRun
			}
			servers = append(servers, s)
		}
	}
	c.Routes = []route{sweep}
	if !d.configure(c, 20*time.Second) || !d.awaitReady(20*time.Second) {
		r.printf("the deployment did not start")
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.enforceMemory(ctx)
	ordinary := &callers{deployment: d, path: "/sweep/a", interval: 500 * time.Millisecond, timeout: bodiesTimeout}
	ordinary.start(ctx)
	time.Sleep(3 * time.Second)
	r.printf("ordinary callers before: %s", ordinary.take())
	crowd := &callers{
		deployment: d, path: "/sweep/b", body: bytes.Repeat([]byte("x"), pageLimits.MaxBodyBytes), perDock: bodiesCrowd,
		timeout: bodiesTimeout, interval: 50 * time.Millisecond, isImpatient: true,
	}
	crowdContext, endCrowd := context.WithTimeout(ctx, bodiesTime)
	defer endCrowd()
	if hasTrouble {
		r.printf("crowd: %d clients at each of %d docks, bodies of %d bytes", bodiesCrowd, len(d.docks), len(crowd.body))
		crowd.start(crowdContext)
	}
	<-crowdContext.Done()
	crowd.tasks.Wait()
	r.printf("crowd: %s", crowd.take())
	r.printf("ordinary callers meanwhile: %s", ordinary.take())
	time.Sleep(6 * time.Second)
	r.printf("ordinary callers afterwards: %s", ordinary.take())
	cancel()
	ordinary.tasks.Wait()
	r.printf("sent: %d requests of ordinary callers and %d of the crowd; the servers ran %d requests", ordinary.sequence.Load(), crowd.sequence.Load(), countRuns(servers))
	return d.judgeEnds()
}

// judgeEnds applies the rule Fault.
func (d *deployment) judgeEnds() int {
	machines := 0
	for _, p := range append(append([]*process{}, d.keepers...), d.docks...) {
		p.mutex.Lock()
		d.record.printf("%s: at most %d MiB resident; ended %d times over its memory, %d times else", p.name, p.peakKB/1024, p.overLimit, p.others)
		if p.overLimit+p.others >= minEnds {
			machines++
		}
		p.mutex.Unlock()
	}
	if needed := max(minMachines, (len(d.keepers)+len(d.docks)+9)/10); machines >= needed {
		d.record.printf("Fault broken: processes ended by themselves %d times or more on %d machines", minEnds, machines)
		return exitBroken
	}
	d.record.printf("Fault held: processes ended %d times or more on %d machines", minEnds, machines)
	return exitHeld
}

// callers send requests to all docks over connections of their own.
type callers struct {
	deployment *deployment
	path       string
	body       []byte
	perDock    int
	interval   time.Duration
	timeout    time.Duration
	// isImpatient is set for clients that do not wait as Retry-After says.
	isImpatient bool

	sequence atomic.Int64
	mutex    sync.Mutex
	statuses map[int]int
	tasks    sync.WaitGroup
}

// start starts perDock clients for each dock, one at least, until the context ends.
func (c *callers) start(ctx context.Context) {
	c.statuses = map[int]int{}
	for i, p := range c.deployment.docks {
		for n := range max(1, c.perDock) {
			c.tasks.Add(1)
			go c.run(ctx, p, fmt.Sprintf("%s.%d", c.deployment.subnet, 120+(i*7+n)%100))
		}
	}
}

// run is one client. It sends its requests one after the other, each on a new connection, and comes back when
// Retry-After says so.
func (c *callers) run(ctx context.Context, p *process, from string) {
	defer c.tasks.Done()
	for ctx.Err() == nil {
		status, after := c.send(ctx, p, from)
		if ctx.Err() != nil {
			return
		}
		c.mutex.Lock()
		c.statuses[status]++
		c.mutex.Unlock()
		if c.isImpatient {
			after = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(after, c.interval)):
		}
	}
}

// send sends one request and returns the status, or 0 without a complete answer.
func (c *callers) send(ctx context.Context, p *process, from string) (int, time.Duration) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	socket, err := dialer.DialContext(ctx, "tcp", c.deployment.address(p.ip, portCaller))
	if err != nil {
		return 0, 0
	}
	defer func() { _ = socket.Close() }()
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	_ = socket.SetDeadline(time.Now().Add(c.timeout + 30*time.Second))
	id := fmt.Sprintf("%s-%s-%d", p.name, from, c.sequence.Add(1))
	method := http.MethodGet
	if len(c.body) > 0 {
		method = http.MethodPost
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Banyandock-Request-Id: %s\r\nX-Banyandock-Deadline-Ms: %d\r\n", method, c.path, host, id, c.timeout.Milliseconds())
	if len(c.body) > 0 {
		head += "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n"
	}
	go func() {
		_, _ = socket.Write(append([]byte(head+"\r\n"), c.body...))
	}()
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// take returns how the requests since the last call ended.
func (c *callers) take() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	text := fmt.Sprint(c.statuses)
	c.statuses = map[int]int{}
	return text
}
