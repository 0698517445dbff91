package main

import (
	"bufio"
	"errors"
	"fmt"
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
	// cpuShareMillis is the part of a core that the machine of a dock has, in thousandths, and allotmentPeriod the time in which it may
	// use that part.
	cpuShareMillis  = 272
	allotmentPeriod = 100 * time.Millisecond
	// ticketCallers send about two requests a second each, and pressingCallers others without a pause.
	ticketCallers   = 40
	pressingCallers = 60
	// routeTimeout is the timeout of the route of the tickets, and ticketWork how long a server works on one.
	routeTimeout = 500 * time.Millisecond
	ticketWork   = 900 * time.Millisecond
	// pressingTime is how long the callers press.
	pressingTime = 40 * time.Second
	// ticketsLostAllowed is how many requests on kept connections may be lost.
	ticketsLostAllowed = 3
)

// runAllotment plays a machine whose processor stops for the rest of each tenth of a second once its allotment is used
// up. Callers press with small requests, while others send requests that reach their route's timeout. These must be
// answered.
func runAllotment(e *environment) (bool, error) {
	d, err := newDeployment(e, 1)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	a := &allotment{deployment: d, record: e.record, isTroubled: e.isTroubled}
	if err := a.startServers(); err != nil {
		return false, err
	}
	if err := d.submit(twoTimeouts()); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	a.run()
	e.record.say("tickets: %s; %d lost on kept connections after a server had them", &a.tickets, a.lost.Load())
	e.record.say("pressing callers: %s; the processor stopped %d times", &a.pressing, a.stops.Load())
	if a.pressing.served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	return a.lost.Load() > ticketsLostAllowed, nil
}

// allotment is a dock with an allotment of processor time, and its callers.
type allotment struct {
	deployment        *deployment
	record            *record
	isTroubled        bool
	end               time.Time
	tickets, pressing outcomes
	// ran holds the tickets that servers had. lost counts those among them that ended without an answer on a connection
	// that had carried others before. stops counts how often the processor stopped.
	ran         sync.Map
	lost, stops atomic.Int64
	tasks       sync.WaitGroup
}

// startServers starts sound servers of both services. Those of the tickets work longer than the route's timeout, and
// answer 504 at the time limit that they are given, as servers do.
func (a *allotment) startServers() error {
	d := a.deployment
	for i := range 3 {
		_, err := newServer(fmt.Sprintf("ticket-%d", i+1), "tickets", domain(i), d.serverIP(i), d.controlAddresses(), d.record,
			func(c net.Conn, r *http.Request, _ []byte, run int64) bool {
				request := r.Header.Get(headerRequest)
				a.ran.Store(request, true)
				limit, _ := strconv.Atoi(r.Header.Get(headerDeadline))
				time.Sleep(min(ticketWork, time.Duration(limit)*time.Millisecond))
				return reply(c, http.StatusGatewayTimeout, []string{headerRequest, request, headerStamp, fmt.Sprintf("t%d.%d", i, run)}, nil)
			})
		if err != nil {
			return err
		}
		_, err = newServer(fmt.Sprintf("ledger-%d", i+1), "ledger", domain(i), d.serverIP(i), d.controlAddresses(), d.record,
			func(c net.Conn, r *http.Request, _ []byte, run int64) bool {
				time.Sleep(serverWork / 3)
				return reply(c, http.StatusOK, []string{headerRequest, r.Header.Get(headerRequest), headerStamp, fmt.Sprintf("l%d.%d", i, run)}, []byte("answer"))
			})
		if err != nil {
			return err
		}
	}
	return nil
}

// run lets the callers send their requests.
func (a *allotment) run() {
	a.end = time.Now().Add(pressingTime)
	if a.isTroubled {
		a.tasks.Add(1)
		go a.limitProcessor()
	}
	for n := range ticketCallers {
		a.tasks.Add(1)
		go a.send(fmt.Sprintf("ticket-%d", n), "/tickets/", &a.tickets, 10*time.Millisecond)
	}
	for n := range pressingCallers {
		a.tasks.Add(1)
		go a.send(fmt.Sprintf("ledger-%d", n), "/ledger/", &a.pressing, 10*time.Millisecond)
	}
	a.tasks.Wait()
}

// limitProcessor stops the dock for the rest of each period in which it has used its allotment.
func (a *allotment) limitProcessor() {
	defer a.tasks.Done()
	p := a.deployment.docks[0]
	allowed := allotmentPeriod * cpuShareMillis / 1000
	for time.Now().Before(a.end) {
		began, before, isStopped := time.Now(), processorTime(p), false
		for time.Since(began) < allotmentPeriod {
			if !isStopped && processorTime(p)-before > allowed {
				p.signal(syscall.SIGSTOP)
				a.stops.Add(1)
				isStopped = true
			}
			time.Sleep(time.Millisecond)
		}
		p.signal(syscall.SIGCONT)
	}
}

// send sends requests over kept connections, one at a time.
func (a *allotment) send(name, path string, o *outcomes, pause time.Duration) {
	defer a.tasks.Done()
	for connection := 0; time.Now().Before(a.end); connection++ {
		socket, err := net.DialTimeout("tcp", a.deployment.callerAddress(0), time.Second)
		if err != nil {
			o.unconnected.Add(1)
			continue
		}
		reader := bufio.NewReader(socket)
		for round := 0; time.Now().Before(a.end); round++ {
			id := fmt.Sprintf("%s-%d-%d", name, connection, round)
			began := time.Now()
			r := askOver(socket, reader, http.MethodGet, path+id, id, callerTimeout, nil)
			o.count(r.status, r.err)
			_, hasRun := a.ran.Load(id)
			if o == &a.tickets {
				a.record.add("%s: %d after %s, error %v, at a server: %t", id, r.status, time.Since(began).Round(time.Millisecond), r.err, hasRun)
			}
			if r.err != nil && hasRun && round > 0 {
				a.lost.Add(1)
			}
			if r.err != nil || r.header.Get("Connection") == "close" {
				break
			}
			time.Sleep(pause)
		}
		_ = socket.Close()
	}
}

// processorTime returns the processor time that the threads of a process have used.
func processorTime(p *process) time.Duration {
	folder := fmt.Sprintf("/proc/%d/task", p.command.Process.Pid)
	threads, _ := os.ReadDir(folder)
	sum := time.Duration(0)
	for _, t := range threads {
		text, err := os.ReadFile(folder + "/" + t.Name() + "/schedstat")
		if err != nil {
			continue
		}
		used, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(used, 10, 64)
		sum += time.Duration(n)
	}
	return sum
}

// twoTimeouts returns a configuration with two routes, of which that of the tickets has the timeout routeTimeout.
func twoTimeouts() string {
	route := `{"name":"r-%[2]s","host":%[1]q,"pathPrefix":"/%[2]s/","type":"idempotent","timeoutMs":%[3]d,"targetLatencyMs":250,"priority":2,"service":"%[2]s","maxAttempts":1}`
	service := `{"name":"%s","healthCheckPath":"/health","maxConnections":214,"protocol":"h1","tls":false}`
	return `{"version":7,"routes":[` + fmt.Sprintf(route, callerHost, "tickets", routeTimeout.Milliseconds()) + "," + fmt.Sprintf(route, callerHost, "ledger", callerTimeout.Milliseconds()) +
		`],"services":[` + fmt.Sprintf(service, "tickets") + "," + fmt.Sprintf(service, "ledger") +
		`],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}
