package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodiesDocks is the number of docks, and bodiesMemoryMB the memory of their machines. A dock that uses more than
	// bodiesLimitMB is killed, which is the same number of MiB.
	bodiesDocks    = 3
	bodiesMemoryMB = 136
	bodiesLimitMB  = 143
	// bodiesCallers is the number of callers of the crowd at each dock, and bodyBytes the size of their bodies, of at
	// most 262,144. Without the disruption they send smallBodyBytes.
	bodiesCallers  = 80
	bodyBytes      = 150_000
	smallBodyBytes = 10
	// shardCount is the number of shards, each of which has shardServers servers.
	shardCount   = 90
	shardServers = 3
	// serverAddresses is the number of addresses that the servers share.
	serverAddresses = 100
	// queueLength is how many requests wait at a server whose slots are all in use. It rejects others.
	queueLength = 12
	// minWork and workSpread bound how long a server works on a request.
	minWork    = 5 * time.Millisecond
	workSpread = 5 * time.Millisecond
	// partBytes is the size of a part.
	partBytes = 400
	// gatherTimeout is the timeout of the route and of its callers.
	gatherTimeout = 1200 * time.Millisecond
	// impatience is how long a caller of the crowd waits after a refusal.
	impatience = 50 * time.Millisecond
	// bodiesTime bounds how long the crowd sends requests.
	bodiesTime = 45 * time.Second
	// bodiesEnds is how often a process must end for the rule, and bodiesMachines at how many machines.
	bodiesEnds     = 3
	bodiesMachines = 2
	// ordinaryPause is the pause between the requests of an ordinary caller. Each dock has ordinaryGatherers.
	ordinaryPause     = 200 * time.Millisecond
	ordinaryGatherers = 2
)

// runBodies sends requests over many shards with bodies of legal size to three docks. The servers are sound. The
// stand-in for the platform ends a process that uses more memory than its machine has.
func runBodies(e *environment) (bool, error) {
	d, err := newDeploymentOf(e, bodiesDocks, bodiesMemoryMB)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	c := &gatherCrowd{deployment: d, record: e.record, body: bytes.Repeat([]byte("b"), smallBodyBytes)}
	if e.isTroubled {
		c.body = bytes.Repeat([]byte("b"), bodyBytes)
	}
	if err := c.startServers(); err != nil {
		return false, err
	}
	if err := d.submit(gatherConfiguration()); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	if err := c.run(); err != nil {
		return false, err
	}
	e.record.say("bodies of %d bytes; crowd: %s; servers ran %d requests and rejected %d", len(c.body), &c.crowd, c.ran.Load(), c.rejected.Load())
	for i := range bodiesDocks {
		e.record.say("dock %d: %d MB of memory at the peak, %d MB allowed, ended %d times", i+1, c.peaks[i].Load(), bodiesLimitMB, c.ends[i].Load())
	}
	e.record.say("ordinary callers: %s", &c.ordinary)
	return c.isBroken(), nil
}

// gatherCrowd is the crowd, the ordinary callers, the servers and the platform.
type gatherCrowd struct {
	deployment      *deployment
	record          *record
	body            []byte
	end             time.Time
	crowd, ordinary outcomes
	// ran and rejected count the requests at the servers.
	ran, rejected atomic.Int64
	// ends, memory and peaks hold the number of ends, the present and the highest memory in MB of each dock.
	ends, memory, peaks [bodiesDocks]atomic.Int64
	tasks               sync.WaitGroup
}

// shardName returns the name of a shard.
func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// startServers starts the servers of all shards, which end with the process.
func (c *gatherCrowd) startServers() error {
	d := c.deployment
	for i := range shardCount * shardServers {
		s := &gatherServer{crowd: c, id: fmt.Sprintf("i-%d", i+1), busy: make(chan struct{}, slots)}
		if _, err := newServer(s.id, shardName(i/shardServers), domain(i), d.serverIP(i%serverAddresses), d.controlAddresses(), c.record, s.answer); err != nil {
			return err
		}
	}
	return nil
}

// gatherServer is what a server of a shard does with its requests.
type gatherServer struct {
	crowd   *gatherCrowd
	id      string
	busy    chan struct{}
	present atomic.Int64
}

// answer runs a request, or rejects it if too many wait.
func (s *gatherServer) answer(c net.Conn, r *http.Request, _ []byte, run int64) bool {
	present := s.present.Add(1)
	defer s.present.Add(-1)
	request := r.Header.Get(headerRequest)
	load := fmt.Sprintf("%d,%d,%d", min(present, slots), max(0, present-slots), slots)
	if present > slots+queueLength {
		s.crowd.rejected.Add(1)
		return reply(c, http.StatusServiceUnavailable, []string{headerRequest, request, headerNotRun, "1", headerLoad, load}, nil)
	}
	s.busy <- struct{}{}
	s.crowd.ran.Add(1)
	time.Sleep(minWork + rand.N(workSpread))
	<-s.busy
	return reply(c, http.StatusOK, []string{headerRequest, request, headerStamp, fmt.Sprintf("%s.%d", s.id, run), headerLoad, load}, make([]byte, partBytes))
}

// run sends requests until the end or until the rule is broken. The crowd comes after the ordinary callers, which must
// have been served before.
func (c *gatherCrowd) run() error {
	c.end = time.Now().Add(touchTime + bodiesTime)
	c.tasks.Add(1)
	go c.recordCounts()
	for dock := range bodiesDocks {
		c.tasks.Add(1)
		go c.watchMemory(dock)
		for n := range ordinaryGatherers {
			c.tasks.Add(1)
			go c.send(dock, fmt.Sprintf("ordinary-%d-%d", dock, n), nil, &c.ordinary, ordinaryPause)
		}
	}
	time.Sleep(touchTime)
	if c.ordinary.served.Load() == 0 {
		return errors.New("no ordinary request was served before the crowd came")
	}
	c.record.say("before the crowd, ordinary callers: %s", &c.ordinary)
	for dock := range bodiesDocks {
		for n := range bodiesCallers {
			c.tasks.Add(1)
			go c.send(dock, fmt.Sprintf("crowd-%d-%d", dock, n), c.body, &c.crowd, impatience)
		}
	}
	c.tasks.Wait()
	return nil
}

// isBroken reports whether processes have ended three times at enough machines.
func (c *gatherCrowd) isBroken() bool {
	machines := 0
	for i := range c.ends {
		if c.ends[i].Load() >= bodiesEnds {
			machines++
		}
	}
	return machines >= bodiesMachines
}

// isOver reports whether the crowd has stopped.
func (c *gatherCrowd) isOver() bool { return time.Now().After(c.end) || c.isBroken() }

// recordCounts writes the counts to the record every second.
func (c *gatherCrowd) recordCounts() {
	defer c.tasks.Done()
	for !c.isOver() {
		time.Sleep(time.Second)
		memory := []int64{}
		for i := range c.memory {
			memory = append(memory, c.memory[i].Load())
		}
		c.record.add("crowd: %s; ordinary: %s; servers ran %d, rejected %d; memory of the docks in MB: %v", &c.crowd, &c.ordinary, c.ran.Load(), c.rejected.Load(), memory)
	}
}

// watchMemory ends the process of a dock when it uses more memory than allowed, and starts it again, as the
// platform does.
func (c *gatherCrowd) watchMemory(dock int) {
	defer c.tasks.Done()
	p := c.deployment.docks[dock]
	for !c.isOver() {
		time.Sleep(20 * time.Millisecond)
		used := int64(memoryOf(p))
		c.memory[dock].Store(used)
		c.peaks[dock].Store(max(c.peaks[dock].Load(), used))
		if used <= bodiesLimitMB && !p.hasEnded() {
			continue
		}
		c.ends[dock].Add(1)
		c.record.say("%s uses %d MB, more than %d, and is killed", p.name, used, bodiesLimitMB)
		p.signal(syscall.SIGKILL)
		<-p.ended
		time.Sleep(restartDelay)
		if err := c.deployment.start(p); err != nil {
			c.record.say("%s does not start: %v", p.name, err)
			return
		}
	}
}

// send sends the requests of one caller, one at a time over a kept connection. The caller pauses after each request
// that is not served, and an ordinary one, whose body is nil, after each request.
func (c *gatherCrowd) send(dock int, name string, body []byte, counts *outcomes, pause time.Duration) {
	defer c.tasks.Done()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	for round := 0; !c.isOver(); {
		socket, err := net.DialTimeout("tcp", c.deployment.callerAddress(dock), time.Second)
		if err != nil {
			counts.unconnected.Add(1)
			time.Sleep(pause)
			continue
		}
		reader := bufio.NewReader(socket)
		for ; !c.isOver(); round++ {
			r := askOver(socket, reader, method, "/all/x", fmt.Sprintf("%s-%d", name, round), gatherTimeout, body)
			counts.count(r.status, r.err)
			if body == nil {
				c.record.add("%s-%d: %d, error %v", name, round, r.status, r.err)
			}
			if body == nil || r.err != nil || r.status != http.StatusOK {
				time.Sleep(pause)
			}
			if r.err != nil || r.header.Get("Connection") == "close" {
				break
			}
		}
		_ = socket.Close()
		round++
	}
}

// gatherConfiguration returns a configuration with one route to all shards.
func gatherConfiguration() string {
	names, services := []string{}, []string{}
	for i := range shardCount {
		names = append(names, strconv.Quote(shardName(i)))
		services = append(services, fmt.Sprintf(`{"name":%q,"healthCheckPath":"/health","maxConnections":86,"protocol":"h1","tls":false}`, shardName(i)))
	}
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-all","host":%q,"pathPrefix":"/all/","type":"idempotent","timeoutMs":%d,"targetLatencyMs":80,"priority":1,"shardServices":[%s],"maxAttempts":2,"topK":20,"minCoverage":0.95}],`+
		`"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		callerHost, gatherTimeout.Milliseconds(), strings.Join(names, ","), strings.Join(services, ","))
}
