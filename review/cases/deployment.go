package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all hosts. Each host has its own loopback address.
const (
	portLink     = 7380
	portOperator = 7395
	portControl  = 8106
	portCaller   = 8104
	portReady    = 8108
	portSearcher = 8080
)

// Bounds of the deployment, those of the users' sheets.
const (
	heartbeatInterval = 1200 * time.Millisecond
	stabilityWindow   = 4 * time.Second
	catchUp           = 4 * time.Second
	drainTime         = 3 * time.Second
	graceTime         = 6 * time.Second
	recoveryTime      = 12 * time.Second
)

const (
	// firstDock and firstSearcher are the numbers of the first hosts that run docks and searchers.
	firstDock     = 11
	firstSearcher = 21
	// lastHost is the highest number of a host.
	lastHost = 40
	// keeperCount is the number of keepers that start together.
	keeperCount = 5
)

// role is a role of the deploy file.
type role struct {
	name, program, template string
}

var (
	roleKeeper = role{"keeper", "target/routekeeper", "deploy/routekeeper.toml"}
	roleDock   = role{"dock", "target/routedock", "deploy/routedock.toml"}
)

// deployment runs the programs of the project.
type deployment struct {
	records *recorder
	folder  string
	network string
	client  *http.Client

	mutex     sync.Mutex
	processes map[int]*exec.Cmd
	closers   []func()
}

// newDeployment returns a deployment without processes, on a loopback network with free ports.
func newDeployment(records *recorder) (*deployment, error) {
	for _, r := range []role{roleKeeper, roleDock} {
		if _, err := os.Stat(r.program); err != nil {
			return nil, err
		}
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{records: records, folder: folder, client: newClient(time.Second), processes: map[int]*exec.Cmd{}}
	for i := range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+i)%60, 1+(os.Getpid()/60)%250)
		if d.isFree() {
			records.add("loopback network %s.0/24", d.network)
			return d, nil
		}
	}
	_ = os.RemoveAll(folder)
	return nil, errors.New("no loopback network with free ports")
}

// isFree reports whether the ports of all hosts are free.
func (d *deployment) isFree() bool {
	for host := 1; host <= lastHost; host++ {
		for _, port := range []int{portLink, portOperator, portControl, portCaller, portReady, portSearcher} {
			l, err := net.Listen("tcp", d.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// address returns the address of a port of a host.
func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, host, port)
}

// onClose adds a function that close calls before it ends the processes.
func (d *deployment) onClose(f func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closers = append(d.closers, f)
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mutex.Lock()
	closers := d.closers
	d.closers = nil
	hosts := []int{}
	for host := range d.processes {
		hosts = append(hosts, host)
	}
	d.mutex.Unlock()
	for _, f := range closers {
		f()
	}
	for _, host := range hosts {
		d.signal(host, syscall.SIGKILL)
		d.wait(host)
	}
	_ = os.RemoveAll(d.folder)
}

// startKeeper starts a keeper with the first three hosts as seeds. isFirst is set at the first start of
// the whole system.
func (d *deployment) startKeeper(host int, isFirst bool) error {
	data := d.dataFolder(host)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	return d.start(roleKeeper, host, map[string]any{
		"bindAddresses.control": d.address(host, portControl),
		"dataDir":               data,
		"bootstrap":             isFirst,
	})
}

// startKeepers starts all keepers for the first time.
func (d *deployment) startKeepers() error {
	for host := 1; host <= keeperCount; host++ {
		if err := d.startKeeper(host, true); err != nil {
			return err
		}
	}
	return nil
}

// startDock starts a dock.
func (d *deployment) startDock(host int) error {
	return d.start(roleDock, host, map[string]any{
		"bindAddresses.front": d.address(host, portCaller),
		"bindAddresses.ready": d.address(host, portReady),
	})
}

// dataFolder returns the folder that stands for a host's disk.
func (d *deployment) dataFolder(host int) string {
	return filepath.Join(d.folder, fmt.Sprintf("disk-%d", host))
}

// start renders the role's template of settings and starts the role's program with it.
func (d *deployment) start(r role, host int, values map[string]any) error {
	common := map[string]any{
		"nodeName": fmt.Sprintf("%s-%d", r.name, host), "zone": zoneOf(host), "region": "region",
		"ip": fmt.Sprintf("%s.%d", d.network, host), "internalPortRange.0": portLink, "internalPortRange.1": portOperator,
		"seeds":           []string{d.address(1, portControl), d.address(2, portControl), d.address(3, portControl)},
		"limits.memoryMb": 280, "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"faultTolerance.machines": 2, "faultTolerance.zones": 0,
		"bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 116, "bounds.budgetWindowS": 10,
	}
	for name, value := range values {
		common[name] = value
	}
	text, err := render(r.template, common)
	if err != nil {
		return err
	}
	settings := filepath.Join(d.folder, fmt.Sprintf("%s-%d.toml", r.name, host))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(r.program, "--settings", settings)
	c.Env = append(os.Environ(), "BANYANDOCK_SETTINGS="+settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.processes[host] = c
	d.records.add("%s started on host %d, process %d", r.name, host, c.Process.Pid)
	return nil
}

// zoneOf returns the zone of a host. There are three.
func zoneOf(host int) string { return fmt.Sprintf("zone-%c", 'a'+host%3) }

// render fills in the placeholders of a template of the deploy file.
func render(path string, values map[string]any) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	rest, text := string(b), strings.Builder{}
	for {
		before, after, isFound := strings.Cut(rest, "{{")
		text.WriteString(before)
		if !isFound {
			return text.String(), nil
		}
		placeholder, next, isClosed := strings.Cut(after, "}}")
		name, isJSON := strings.CutSuffix(placeholder, "|json")
		value, isKnown := values[name]
		switch {
		case !isClosed, !isKnown:
			return "", fmt.Errorf("%s: placeholder %q has no value here", path, placeholder)
		case isJSON:
			encoded, err := json.Marshal(value)
			if err != nil {
				return "", err
			}
			text.Write(encoded)
		default:
			fmt.Fprintf(&text, "%v", value)
		}
		rest = next
	}
}

// signal sends a signal to the process of a host.
func (d *deployment) signal(host int, s syscall.Signal) {
	d.mutex.Lock()
	c := d.processes[host]
	d.mutex.Unlock()
	if c != nil {
		// The process may have ended already.
		_ = c.Process.Signal(s)
	}
}

// wait waits for the end of the process of a host.
func (d *deployment) wait(host int) {
	d.mutex.Lock()
	c := d.processes[host]
	delete(d.processes, host)
	d.mutex.Unlock()
	if c != nil {
		_ = c.Wait()
	}
}

// terminate stops the process of a host for good as the platform does: SIGTERM, and SIGKILL after the
// grace time.
func (d *deployment) terminate(host int) {
	d.records.add("host %d gets SIGTERM and does not come back", host)
	d.signal(host, syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() { d.signal(host, syscall.SIGKILL) })
	d.wait(host)
	kill.Stop()
}
