package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// host is the Host header of all requests.
	host = "a.example"
	// zone is the only failure domain of the deployment.
	zone = "zone-a"
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// heartbeatInterval is how often servers announce themselves.
	heartbeatInterval = 600 * time.Millisecond
)

// deployment is a small deployment: keepers and docks as separate processes on loopback addresses, each with an
// address of its own.
type deployment struct {
	folder   string
	programs string
	subnet   string
	portBase int
	keepers  []*process
	docks    []*process
	memoryMB int
	client   *http.Client
	record   *record
}

// process is one process of the deployment. The platform starts it again when it has ended.
type process struct {
	name     string
	ip       string
	program  string
	settings string
	log      string

	mutex   sync.Mutex
	command *exec.Cmd
	// isWanted is false once the script ends the process for good.
	isWanted bool
	// overLimit counts the ends because of the memory limit, and others those that nobody caused.
	overLimit int
	others    int
	// peakKB is the largest resident memory seen.
	peakKB int
	done   chan struct{}
}

// newDeployment chooses free ports and writes the settings of all processes.
func newDeployment(folder, programs string, keepers, docks, memoryMB int, r *record) (*deployment, error) {
	d := &deployment{folder: folder, programs: programs, memoryMB: memoryMB, record: r, client: &http.Client{Timeout: time.Second}}
	if err := d.findPorts(keepers + docks); err != nil {
		return nil, err
	}
	for i := range keepers + docks {
		p := &process{name: fmt.Sprintf("dock-%d", i-keepers+1), ip: d.ip(i), program: filepath.Join(programs, "routedock")}
		if i < keepers {
			p.name, p.program = fmt.Sprintf("keeper-%d", i+1), filepath.Join(programs, "routekeeper")
			d.keepers = append(d.keepers, p)
		} else {
			d.docks = append(d.docks, p)
		}
		p.settings, p.log = filepath.Join(folder, p.name+".toml"), filepath.Join(folder, p.name+".log")
	}
	for i, p := range append(append([]*process{}, d.keepers...), d.docks...) {
		if err := d.writeSettings(p, i < keepers); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// ip returns the address of a host.
func (d *deployment) ip(i int) string { return fmt.Sprintf("%s.%d", d.subnet, i+1) }

// port offsets of a host.
const (
	portLink = iota
	portOperator
	portControl
	portCaller
	portReady
	portCount
)

// address returns an address of a host.
func (d *deployment) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(d.portBase+port))
}

// findPorts chooses a loopback subnet and ports at which nobody listens.
func (d *deployment) findPorts(hosts int) error {
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		d.portBase = 20000 + rand.IntN(10000)
		if d.areFree(hosts) {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// areFree reports whether nobody listens at the chosen addresses.
func (d *deployment) areFree(hosts int) bool {
	for i := range hosts {
		for port := range portCount {
			l, err := net.Listen("tcp", d.address(d.ip(i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeSettings writes what the templates of the deploy file give for a small deployment.
func (d *deployment) writeSettings(p *process, isKeeper bool) error {
	seeds := []string{}
	for _, k := range d.keepers[:min(3, len(d.keepers))] {
		seeds = append(seeds, strconv.Quote(d.address(k.ip, portControl)))
	}
	text := fmt.Sprintf("host = %q\ndomain = %q\nregion = \"region\"\noperator_address = %q\nlink_address = %q\nseeds = [%s]\nkeeper_link_port = %d\nmemory_limit_mb = %d\n",
		p.name, zone, d.address(p.ip, portOperator), d.address(p.ip, portLink), strings.Join(seeds, ", "), d.portBase+portLink, d.memoryMB)
	if isKeeper {
		folder := filepath.Join(d.folder, p.name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		text += fmt.Sprintf("control_address = %q\ndata_folder = %q\nmay_form = true\ntolerated_hosts = %d\ntolerated_domains = 0\nheartbeat_interval = %q\n",
			d.address(p.ip, portControl), folder, (len(d.keepers)-1)/2, heartbeatInterval.String())
	} else {
		text += fmt.Sprintf("caller_address = %q\nreadiness_address = %q\nrepeat_ratio = 0.2\nrepeat_slack = 116\nrepeat_window = \"10s\"\ndrain_grace = \"2500ms\"\nfinish_timeout = \"2700ms\"\n",
			d.address(p.ip, portCaller), d.address(p.ip, portReady))
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts all processes. The platform restarts them when they end.
func (d *deployment) start() {
	for _, p := range append(append([]*process{}, d.keepers...), d.docks...) {
		p.isWanted, p.done = true, make(chan struct{})
		go p.run()
	}
}

// run starts the process again and again until it is no longer wanted.
func (p *process) run() {
	defer close(p.done)
	for {
		logFile, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		c := exec.Command(p.program, "--settings", p.settings)
		// The machines of the platform have one core each.
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
		c.Stdout, c.Stderr = logFile, logFile
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mutex.Lock()
		if !p.isWanted {
			p.mutex.Unlock()
			_ = logFile.Close()
			return
		}
		err = c.Start()
		p.command = c
		p.mutex.Unlock()
		before := p.ends()
		if err == nil {
			_ = c.Wait()
		}
		_ = logFile.Close()
		p.mutex.Lock()
		p.command = nil
		if p.isWanted && p.overLimit == before {
			p.others++
		}
		p.mutex.Unlock()
		time.Sleep(restartDelay)
	}
}

// ends returns how often the process has ended because of the memory limit.
func (p *process) ends() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.overLimit
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// residentKB returns the resident memory of the process in KB, or 0 if it does not run.
func (p *process) residentKB() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			p.peakKB = max(p.peakKB, kb)
			return kb
		}
	}
	return 0
}

// enforceMemory does what the platform does: a process that uses more memory than its machine gives it is killed.
func (d *deployment) enforceMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range d.docks {
			kb := p.residentKB()
			if kb <= d.memoryMB*1024 {
				continue
			}
			p.mutex.Lock()
			p.overLimit++
			n := p.overLimit
			p.mutex.Unlock()
			d.record.printf("platform: %s uses %d KiB of %d MiB: killed (end %d)", p.name, kb, d.memoryMB, n)
			p.signal(syscall.SIGKILL)
			for p.residentKB() == kb && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range append(append([]*process{}, d.keepers...), d.docks...) {
		if p.done == nil {
			continue
		}
		p.mutex.Lock()
		p.isWanted = false
		p.mutex.Unlock()
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// controls returns the control addresses.
func (d *deployment) controls() []string {
	list := []string{}
	for _, k := range d.keepers {
		list = append(list, d.address(k.ip, portControl))
	}
	return list
}

// call makes one HTTP request to a control or readiness address and returns the status, or 0.
func (d *deployment) call(method, url string, body []byte) (int, string) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := d.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// configure sends a configuration, as the operator does, until it is acknowledged.
func (d *deployment) configure(c configuration, timeout time.Duration) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		for _, address := range d.controls() {
			if status, _ := d.call(http.MethodPut, "http://"+address+"/api/config", text); status == http.StatusOK {
				d.record.printf("operator: version %d acknowledged", c.Version)
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all docks are ready.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, p := range d.docks {
		for {
			if status, _ := d.call(http.MethodGet, "http://"+d.address(p.ip, portReady)+"/api/ready", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// configuration is the body of PUT /api/config.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants,omitempty"`
}

type tenant struct {
	Name      string   `json:"name"`
	APIKeys   []string `json:"apiKeys"`
	RatePerS  float64  `json:"ratePerS"`
	BurstSize float64  `json:"burstSize"`
}

type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathPrefix  string   `json:"pathPrefix"`
	Type        string   `json:"type"`
	TimeoutMs   int      `json:"timeoutMs"`
	TargetMs    int      `json:"targetLatencyMs"`
	Priority    int      `json:"priority"`
	MaxAttempts int      `json:"maxAttempts"`
	Service     string   `json:"service,omitempty"`
	Shards      []string `json:"shardServices,omitempty"`
	TopK        int      `json:"topK,omitempty"`
	MinCoverage float64  `json:"minCoverage,omitempty"`
}

type service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"healthCheckPath"`
	MaxConnections  int    `json:"maxConnections"`
	Protocol        string `json:"protocol"`
	TLS             bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// pageLimits are the limits of the example in PROTOCOL.md.
var pageLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}
