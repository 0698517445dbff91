// Package main runs the cases of the third review. Each case starts the project's own programs as
// separate processes on loopback addresses, with stand-ins for backend servers, callers and the
// operator, and checks one rule from what these see.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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

// Ports of all hosts, each of which has an address of its own.
const (
	portLink     = 7380
	portOperator = 7395
	portCaller   = 8104
	portControl  = 8106
	portReady    = 8108
)

const (
	keeperCount = 5
	domainCount = 3
	// firstDock and firstServer are the last octets of the first dock and the first server.
	firstDock   = 21
	firstServer = 101
	// startTimeout bounds the time until all docks are ready.
	startTimeout = 40 * time.Second
	// heartbeatInterval is how often servers announce themselves.
	heartbeatInterval = 1200 * time.Millisecond
	// dockMemoryMB and keeperMemoryMB are the memory of the machines of the small deployment.
	dockMemoryMB   = 206
	keeperMemoryMB = 280
	// operatorTimeout is how long an operator waits for a response before it tries another keeper.
	operatorTimeout = time.Second
)

// process is one running program of the project.
type process struct {
	name     string
	program  string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// deployment is a small deployment: five keepers in three failure domains and some docks.
type deployment struct {
	programs string
	folder   string
	prefix   string
	keepers  []*process
	docks    []*process
	client   *http.Client
	record   *record
	// dockMemory is the memory in MB of the machines of the docks.
	dockMemory int

	// Guarded by mutex.
	mutex    sync.Mutex
	isClosed bool
}

// newDeployment starts the processes. The caller must call close, also after an error.
func newDeployment(e *environment, docks int) (*deployment, error) {
	return newDeploymentOf(e, docks, dockMemoryMB)
}

// newDeploymentOf does the same with docks on machines with another memory, in MB.
func newDeploymentOf(e *environment, docks, dockMemory int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		programs: e.programs, folder: folder, record: e.record, dockMemory: dockMemory,
		prefix: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, 1+os.Getpid()/128%250),
		client: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.deployment.Store(d)
	for i := range keeperCount {
		p := &process{name: fmt.Sprintf("keeper-%d", i+1), program: "routekeeper"}
		d.keepers = append(d.keepers, p)
		if err := d.startNew(p, d.keeperSettings(i, true)); err != nil {
			return d, err
		}
	}
	for i := range docks {
		p := &process{name: fmt.Sprintf("dock-%d", i+1), program: "routedock"}
		d.docks = append(d.docks, p)
		if err := d.startNew(p, d.dockSettings(i)); err != nil {
			return d, err
		}
	}
	return d, nil
}

// keeperIP, dockIP and serverIP return the addresses of hosts.
func (d *deployment) keeperIP(i int) string { return fmt.Sprintf("%s%d", d.prefix, 1+i) }
func (d *deployment) dockIP(i int) string   { return fmt.Sprintf("%s%d", d.prefix, firstDock+i) }
func (d *deployment) serverIP(i int) string { return fmt.Sprintf("%s%d", d.prefix, firstServer+i) }

// callerAddress returns the address at which a dock serves callers.
func (d *deployment) callerAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.dockIP(i), portCaller)
}

// controlAddress returns the address at which a keeper serves operators and servers.
func (d *deployment) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.keeperIP(i), portControl)
}

// controlAddresses returns those of all keepers.
func (d *deployment) controlAddresses() []string {
	list := []string{}
	for i := range d.keepers {
		list = append(list, d.controlAddress(i))
	}
	return list
}

// domain returns the failure domain of a host.
func domain(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%domainCount) }

// commonSettings returns the settings that keepers and docks share, as the templates of the deploy file have them.
func (d *deployment) commonSettings(name, ip string, i, memory int) string {
	seeds := []string{}
	for _, a := range d.controlAddresses()[:min(3, len(d.keepers))] {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	for n := len(seeds); n < 3; n++ {
		seeds = append(seeds, fmt.Sprintf("%q", d.controlAddress(n)))
	}
	return fmt.Sprintf(`host = %q
domain = %q
region = "region"
operator_address = "%s:%d"
link_address = "%s:%d"
seeds = [%s]
keeper_link_port = %d
memory_limit_mb = %d
`, name, domain(i), ip, portOperator, ip, portLink, strings.Join(seeds, ", "), portLink, memory)
}

// keeperSettings returns the settings of a keeper.
func (d *deployment) keeperSettings(i int, mayForm bool) string {
	return d.commonSettings(fmt.Sprintf("keeper-%d", i+1), d.keeperIP(i), i, keeperMemoryMB) + fmt.Sprintf(`control_address = %q
data_folder = %q
may_form = %t
tolerated_hosts = 2
tolerated_domains = 0
heartbeat_interval = "%s"
`, d.controlAddress(i), d.dataFolder(i), mayForm, heartbeatInterval)
}

// dataFolder returns the folder of a keeper's disk.
func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("disk-%d", i+1))
}

// dockSettings returns the settings of a dock.
func (d *deployment) dockSettings(i int) string {
	return d.commonSettings(fmt.Sprintf("dock-%d", i+1), d.dockIP(i), i, d.dockMemory) + fmt.Sprintf(`caller_address = "%s:%d"
readiness_address = "%s:%d"
repeat_ratio = 0.2
repeat_slack = 116
repeat_window = "10s"
drain_grace = "2500ms"
finish_timeout = "2700ms"
`, d.dockIP(i), portCaller, d.dockIP(i), portReady)
}

// startNew writes the settings of a process and starts it.
func (d *deployment) startNew(p *process, settings string) error {
	p.settings = filepath.Join(d.folder, p.name+".toml")
	p.log = filepath.Join(d.folder, p.name+".log")
	if p.program == "routekeeper" {
		if err := os.MkdirAll(filepath.Join(d.folder, strings.Replace(p.name, "keeper", "disk", 1)), 0o700); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	return d.start(p)
}

// start starts a process with its present settings file. It does nothing once the deployment is closed.
func (d *deployment) start(p *process) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.isClosed {
		return errors.New("the deployment is closed")
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(filepath.Join(d.programs, p.program), "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(p.command, p.ended)
	return nil
}

// signal sends a signal to a process that the case started.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.isClosed = true
	for _, p := range append(append([]*process{}, d.keepers...), d.docks...) {
		if p.ended != nil {
			p.kill()
		}
	}
	_ = os.RemoveAll(d.folder)
}

// awaitReady waits until all docks say that they are ready.
func (d *deployment) awaitReady() error {
	for i, p := range d.docks {
		if err := d.awaitDock(i, p); err != nil {
			return err
		}
	}
	return nil
}

// awaitDock waits until one dock says that it is ready.
func (d *deployment) awaitDock(i int, p *process) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if p.hasEnded() {
			return fmt.Errorf("%s has ended", p.name)
		}
		if d.isReady(i) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// isReady asks a dock whether it is ready, as the load balancer does.
func (d *deployment) isReady(i int) bool {
	response, err := d.client.Get(fmt.Sprintf("http://%s:%d/api/ready", d.dockIP(i), portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// submit sends a configuration to one keeper after the other until one acknowledges it.
func (d *deployment) submit(text string) error {
	deadline := time.Now().Add(startTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _, err := d.call(context.Background(), http.MethodPut, d.controlAddress(i%len(d.keepers)), "/api/config", text)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return fmt.Errorf("the configuration is refused with %d", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// call sends one request to a control address.
func (d *deployment) call(ctx context.Context, method, address, path, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// checkAddresses returns an error if the addresses of the case cannot be used.
func (d *deployment) checkAddresses() error {
	l, err := net.Listen("tcp", d.serverIP(0)+":0")
	if err != nil {
		return err
	}
	return l.Close()
}
