package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdDocks is the number of docks. Each gets crowdCallers from crowdAddresses addresses.
	crowdDocks     = 2
	crowdCallers   = 500
	crowdAddresses = 5
	// crowdAddress is the last octet of the first of them.
	crowdAddress = 201
	// headerLimit is maxHeaderBytes of the configuration, which callers stay within. headerTime is how long they
	// take to send a request's headers, within headerTimeoutMs.
	headerLimit = 16384
	headerTime  = 2500 * time.Millisecond
	// requiredLines is room for the lines that every request has.
	requiredLines = 300
	// crowdTime bounds how long the crowd sends requests.
	crowdTime = 40 * time.Second
	// endsWanted is the number of ends of each dock after which the crowd stops.
	endsWanted = 3
	// lostAllowed is how many requests on kept connections may reach a sound server and end without an answer.
	lostAllowed = 3
	// ordinaryCallers is the number of ordinary callers of each dock.
	ordinaryCallers = 10
	// touchTime is how long the docks run before the crowd comes, more than stabilityWindowMs.
	touchTime = 6 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// serverWork is how long a server works on a request.
	serverWork = 60 * time.Millisecond
	// callerTimeout is the time limit of the callers' requests.
	callerTimeout = 4 * time.Second
)

// outcomes counts how the requests of some callers ended.
type outcomes struct {
	served, refused, cut, unconnected atomic.Int64
}

// String returns the counts.
func (o *outcomes) String() string {
	return fmt.Sprintf("%d served, %d refused, %d cut without an answer, %d not connected", o.served.Load(), o.refused.Load(), o.cut.Load(), o.unconnected.Load())
}

// count counts one result.
func (o *outcomes) count(status int, err error) {
	switch {
	case err != nil:
		o.cut.Add(1)
	case status == http.StatusOK:
		o.served.Add(1)
	default:
		o.refused.Add(1)
	}
}

// runCrowd sends requests of legal size with many short header lines to two docks. All callers stay within the
// limits of the configuration. The stand-in for the platform ends a process that uses more memory than its machine has.
func runCrowd(e *environment) (bool, error) {
	d, err := newDeployment(e, crowdDocks)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	c := &crowd{deployment: d, record: e.record, ends: make([]atomic.Int64, crowdDocks), peaks: make([]atomic.Int64, crowdDocks)}
	if err := c.startServers(); err != nil {
		return false, err
	}
	if err := d.submit(singleConfiguration("idempotent")); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	if e.isTroubled {
		c.lines = shortLines(headerLimit - requiredLines)
	}
	c.end = time.Now().Add(crowdTime)
	c.run()
	e.record.say("headers of at most %d bytes in %d lines; crowd: %s", headerLimit, strings.Count(c.lines, "\n")+3, &c.crowd)
	for i := range crowdDocks {
		e.record.say("dock %d: %d MB of memory at the peak, %d MB allowed, ended %d times", i+1, c.peaks[i].Load(), dockMemoryMB, c.ends[i].Load())
	}
	e.record.say("ordinary callers: %s; %d lost on kept connections after a server had them", &c.ordinary, c.lost.Load())
	if c.ordinary.served.Load() == 0 {
		return false, errors.New("no ordinary request was served")
	}
	return c.lost.Load() > lostAllowed, nil
}

// crowd is the crowd, the ordinary callers and the platform.
type crowd struct {
	deployment *deployment
	record     *record
	// lines are the header lines that each request of the crowd has in addition.
	lines           string
	end             time.Time
	crowd, ordinary outcomes
	// ends and peaks hold the number of ends and the highest memory in MB of each dock.
	ends, peaks []atomic.Int64
	// ran holds the requests that servers ran, and lost counts those of ordinary callers among them that ended without an
	// answer, on connections that had carried others before.
	ran   sync.Map
	lost  atomic.Int64
	tasks sync.WaitGroup
}

// startServers starts sound servers, which end with the process.
func (c *crowd) startServers() error {
	d := c.deployment
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		_, err := newServer(id, "single", domain(i), d.serverIP(i), d.controlAddresses(), c.record,
			func(socket net.Conn, r *http.Request, _ []byte, run int64) bool {
				request := r.Header.Get(headerRequest)
				c.ran.Store(request, true)
				time.Sleep(serverWork)
				return reply(socket, http.StatusOK, []string{headerRequest, request, headerStamp, fmt.Sprintf("%s.%d", id, run)}, []byte("answer"))
			})
		if err != nil {
			return err
		}
	}
	return nil
}

// run sends requests until the end or until the rule is broken.
func (c *crowd) run() {
	for dock := range crowdDocks {
		c.tasks.Add(1)
		go c.watchMemory(dock)
		for n := range crowdCallers {
			c.tasks.Add(1)
			go c.sendSlowly(dock, n)
		}
		for n := range ordinaryCallers {
			c.tasks.Add(1)
			go c.sendOrdinary(dock, n)
		}
	}
	c.tasks.Wait()
}

// isOver reports whether the crowd has stopped.
func (c *crowd) isOver() bool {
	if time.Now().After(c.end) {
		return true
	}
	for i := range c.ends {
		if c.ends[i].Load() < endsWanted {
			return false
		}
	}
	return true
}

// watchMemory ends the process of a dock when it uses more memory than allowed, and starts it again, as the
// platform does.
func (c *crowd) watchMemory(dock int) {
	defer c.tasks.Done()
	p := c.deployment.docks[dock]
	for !c.isOver() {
		time.Sleep(20 * time.Millisecond)
		used := int64(memoryOf(p))
		c.peaks[dock].Store(max(c.peaks[dock].Load(), used))
		if used <= dockMemoryMB && !p.hasEnded() {
			continue
		}
		c.ends[dock].Add(1)
		c.record.say("%s uses %d MB, more than %d, and is killed", p.name, used, dockMemoryMB)
		p.signal(syscall.SIGKILL)
		<-p.ended
		time.Sleep(restartDelay)
		if err := c.deployment.start(p); err != nil {
			c.record.say("%s does not start: %v", p.name, err)
			return
		}
	}
}

// sendSlowly sends the requests of one caller of the crowd, each over a new connection.
func (c *crowd) sendSlowly(dock, n int) {
	defer c.tasks.Done()
	from := net.ParseIP(fmt.Sprintf("%s%d", c.deployment.prefix, crowdAddress+n%crowdAddresses))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: time.Second}
	for round := 0; !c.isOver(); round++ {
		socket, err := dialer.Dial("tcp", c.deployment.callerAddress(dock))
		if err != nil {
			c.crowd.unconnected.Add(1)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.crowd.count(askSlowly(socket, fmt.Sprintf("crowd-%d-%d-%d", dock, n, round), c.lines))
		_ = socket.Close()
		time.Sleep(100 * time.Millisecond)
	}
}

// askSlowly sends a request whose headers take headerTime, and reads the response.
func askSlowly(socket net.Conn, id, lines string) (int, error) {
	_ = socket.SetDeadline(time.Now().Add(headerTime + callerTimeout))
	head := fmt.Sprintf("GET /single/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", callerHost, headerRequest, id, headerDeadline, callerTimeout.Milliseconds(), lines)
	if _, err := io.WriteString(socket, head); err != nil {
		return 0, err
	}
	time.Sleep(headerTime)
	if _, err := io.WriteString(socket, "\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendOrdinary sends the requests of one ordinary caller, which keeps its connection.
func (c *crowd) sendOrdinary(dock, n int) {
	defer c.tasks.Done()
	for connection := 0; !c.isOver(); connection++ {
		socket, err := net.DialTimeout("tcp", c.deployment.callerAddress(dock), time.Second)
		if err != nil {
			c.ordinary.unconnected.Add(1)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.sendKept(socket, fmt.Sprintf("ordinary-%d-%d-%d", dock, n, connection))
		_ = socket.Close()
	}
}

// sendKept sends requests over one connection until it ends.
func (c *crowd) sendKept(socket net.Conn, name string) {
	reader := bufio.NewReader(socket)
	for round := 0; !c.isOver(); round++ {
		id := fmt.Sprintf("%s-%d", name, round)
		r := askOver(socket, reader, http.MethodGet, "/single/x", id, callerTimeout, nil)
		_, hasRun := c.ran.Load(id)
		c.record.add("%s: %d, error %v, run by a server: %t", id, r.status, r.err, hasRun)
		c.ordinary.count(r.status, r.err)
		if r.err != nil && hasRun && round > 0 {
			c.lost.Add(1)
		}
		if r.err != nil || r.header.Get("Connection") == "close" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// shortLines returns header lines of at most a total size, each with a name of its own and no value.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		line := "x" + strconv.FormatInt(int64(n), 36) + ":\r\n"
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// memoryOf returns the resident memory of a process in MB, or 0 if that is not known.
func memoryOf(p *process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if fields := strings.Fields(rest); ok && len(fields) > 0 {
			kilobytes, _ := strconv.Atoi(fields[0])
			return kilobytes * 1024 / 1_000_000
		}
	}
	return 0
}
