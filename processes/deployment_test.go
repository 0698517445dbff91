// Package processes tests guarantees on real processes: keepers, docks and stand-in backend servers
// run on loopback addresses, and tests kill and suspend them and erase their disks. Timeouts are
// long, so that results do not depend on the machine's speed.
package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

const (
	// waitTimeout bounds the wait for a state that must be reached.
	waitTimeout = 40 * time.Second
	// pollInterval is the time between two checks of an awaited state.
	pollInterval = 50 * time.Millisecond
	// stopTimeout bounds a graceful shutdown.
	stopTimeout = 40 * time.Second
	// contractDeadline is the deadline of the contracts in the tests' manifests. It is long enough
	// for a busy machine.
	contractDeadline = 3 * time.Second
)

// binaries is the path of the folder with the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "banyandock-processes-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	for _, name := range []string{"dock", "keeper", "dockctl", "standin", "routedock", "routekeeper"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(folder, name), "../cmd/"+name).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is a program that a test started.
type process struct {
	name    string
	args    []string
	logPath string
	// descriptors is the limit of the process's open descriptors, or 0 for the test's own.
	descriptors int
	// environment is added to the test's own.
	environment []string
	command     *exec.Cmd
	exited      chan struct{}
}

// start starts the program. It can be called again after an exit, and then appends to the same log.
func (p *process) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	p.command = exec.Command(filepath.Join(binaries, p.name), p.args...)
	if p.descriptors > 0 {
		// The limit must stand before the start, because the Go runtime reads it then.
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors)
		p.command = exec.Command("sh", append([]string{"-c", script, filepath.Join(binaries, p.name)}, p.args...)...)
	}
	p.command.Env = append(os.Environ(), p.environment...)
	p.command.Stdout = log
	p.command.Stderr = log
	assert.NilError(t, p.command.Start())
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(p.command, p.exited)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

// stop stops the process with SIGTERM and returns its exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop within %s", p.logPath, stopTimeout)
	}
	return p.command.ProcessState.ExitCode()
}

// deployment is a set of running processes.
type deployment struct {
	t           *testing.T
	secondOctet int
	folder      string
	keepers     []*process
	docks       []*process
	standin     *process
}

// startDeployment starts three keepers, the docks and the stand-in backend servers. It waits until
// the first manifest is in force and every dock is ready and answers from all shards.
func startDeployment(t *testing.T, docks int) *deployment {
	t.Helper()
	d := &deployment{t: t, secondOctet: reserveNetwork(t), folder: t.TempDir()}
	t.Cleanup(d.cleanUp)
	for i := range 3 {
		d.keepers = append(d.keepers, d.newProcess("keeper", i, d.keeperSettings(i)))
		d.keepers[i].start(t)
	}
	for i := range docks {
		d.docks = append(d.docks, d.newProcess("dock", i, d.dockSettings(i)))
		d.docks[i].start(t)
	}
	path := d.write("standin.toml", d.standinSettings())
	d.standin = &process{name: "standin", args: []string{"serve", "--settings", path}, logPath: filepath.Join(d.folder, "standin.log")}
	d.standin.start(t)
	d.submit(1)
	for i := range docks {
		d.awaitReady(i)
		d.awaitComplete(i)
	}
	return d
}

// reserveNetwork returns an unused second octet for the deployment's loopback addresses. It
// reserves the octet by a listener that stays open until the test ends, because docks of two
// concurrent test runs with the same addresses would connect to each other.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	for number := 100; number < 250; number++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", number))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return number
		}
	}
	t.Fatal("no free loopback addresses")
	return 0
}

// cleanUp kills all running processes and prints the ends of their logs if the test has failed.
func (d *deployment) cleanUp() {
	for _, p := range append(append([]*process{d.standin}, d.docks...), d.keepers...) {
		if p == nil || p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		<-p.exited
		if d.t.Failed() {
			d.showLog(p)
		}
	}
}

// showLog prints the last 3000 bytes of a process's log.
func (d *deployment) showLog(p *process) {
	const shown = 3000
	text, _ := os.ReadFile(p.logPath)
	d.t.Logf("%s:\n%s", filepath.Base(p.logPath), text[max(0, len(text)-shown):])
}

func (d *deployment) newProcess(name string, i int, settings string) *process {
	path := d.write(fmt.Sprintf("%s_%d.toml", name, i), settings)
	return &process{name: name, args: []string{"--settings", path}, logPath: filepath.Join(d.folder, fmt.Sprintf("%s_%d.log", name, i))}
}

func (d *deployment) write(name, text string) string {
	path := filepath.Join(d.folder, name)
	assert.NilError(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// host returns the loopback address of a host of this deployment.
func (d *deployment) host(kind string, i int) string {
	third := map[string]int{"dock": 1, "keeper": 2, "standin": 3}[kind]
	return fmt.Sprintf("127.%d.%d.%d", d.secondOctet, third, i+1)
}

func (d *deployment) keeperAddresses() []string {
	var list []string
	for i := range 3 {
		list = append(list, d.host("keeper", i)+":7400")
	}
	return list
}

func (d *deployment) keeperSettings(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host = \"keeper-%d\"\ndomain = \"domain-%d\"\nregion = \"test\"\nlink_address = \"%s:7400\"\noperator_address = \"%s:7500\"\ndata_folder = %q\n",
		i, i, d.host("keeper", i), d.host("keeper", i), d.dataFolder(i))
	for j := range 3 {
		fmt.Fprintf(&b, "[[keeper]]\nname = \"keeper-%d\"\naddress = \"%s:7400\"\n", j, d.host("keeper", j))
	}
	return b.String()
}

func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data_%d", i))
}

func (d *deployment) dockSettings(i int) string {
	return fmt.Sprintf("host = \"dock-%d\"\ndomain = \"domain-%d\"\nregion = \"test\"\nlink_address = \"%[3]s:7100\"\ncaller_address = \"%[3]s:7200\"\noperator_address = \"%[3]s:7300\"\nkeepers = [\"%[4]s\"]\ndrain_grace = \"2s\"\nfinish_timeout = \"10s\"\n",
		i, i%3, d.host("dock", i), strings.Join(d.keeperAddresses(), `", "`))
}

func (d *deployment) standinSettings() string {
	var docks []string
	for i := range d.docks {
		docks = append(docks, d.host("dock", i)+":7200")
	}
	return fmt.Sprintf(`control = "%[1]s:7900"
seed = 7
announce_to = ["%[2]s"]
announce_interval = "500ms"
[[service]]
name = "plates"
domains = ["domain-0", "domain-1", "domain-2"]
first_address = "%[1]s"
port = 7600
protocol = "http2"
instances = 6
servers_per_instance = 2
replicas = 2
shards = 6
version = 1
slots = 2
connections = 55
connection_cost = "6ms"
waiting_limit = 100
service_time = "4ms"
spread = 0.5
slow_share = 0.01
slow_factor = 10.0
cold_time = "200ms"
cold_factor = 2.0
restart_time = "500ms"
one_way_delay = "500us"
rows = 2
crash_marker = "crash-me"
`, d.host("standin", 0), strings.Join(docks, `", "`))
}

// manifest returns the text of a manifest. Its number is also the row limit of lookups, so that an
// answer shows which manifest was in force.
func (d *deployment) manifest(number int) string {
	contract := func(operation, rest string) string {
		return fmt.Sprintf("[[contract]]\ncaller = \"desk\"\nservice = \"plates\"\noperation = %q\nurgency = \"urgent\"\ndeadline = %q\nrate_per_second = 100000\nconcurrency = 1000\n%s\n",
			operation, contractDeadline, rest)
	}
	return fmt.Sprintf("number = %d\n", number) +
		contract("lookup", fmt.Sprintf("idempotent = true\nminimum_coverage = 1.0\nmerge = \"top_k\"\nrow_limit = %d", number)) +
		contract("browse", "idempotent = true\nminimum_coverage = 0.5\nmerge = \"concatenate\"\nwhen_stale = \"serve\"") +
		contract("reorder", "idempotent = false\nminimum_coverage = 1.0\nscope = \"one\"\nmerge = \"concatenate\"")
}

// submit submits a manifest with dockctl, which exits once the manifest is in force.
func (d *deployment) submit(number int) {
	d.t.Helper()
	out, err := d.trySubmit(number)
	assert.NilError(d.t, err, "%s", out)
}

func (d *deployment) trySubmit(number int) (string, error) {
	return d.trySubmitText(number, d.manifest(number))
}

func (d *deployment) trySubmitText(number int, text string) (string, error) {
	path := d.write(fmt.Sprintf("manifest_%d.toml", number), text)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(binaries, "dockctl"), "submit", path, "--keepers", strings.Join(d.keeperAddresses(), ",")).CombinedOutput()
	return string(out), err
}

// answer holds the fields of an answer that the tests use.
type answer struct {
	Outcome      string `json:"outcome"`
	Code         string `json:"code"`
	WasRun       bool   `json:"was_run"`
	Manifest     uint64 `json:"manifest"`
	IndexVersion uint64 `json:"index_version"`
	Repeated     bool   `json:"repeated"`
	Coverage     struct {
		Shards  int `json:"shards"`
		Covered int `json:"covered"`
		Missing []struct {
			Shard  int    `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	RetryAfter int64 `json:"retry_after_ms"`
}

// query sends one request to a dock.
func (d *deployment) query(dock int, operation, key, body string) (answer, error) {
	var a answer
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:7200/v1/query/plates/%s", d.host("dock", dock), operation)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	r.Header.Set("Banyandock-Caller", "desk")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return a, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(text, &a)
}

// await waits until a condition holds.
func (d *deployment) await(condition string, isMet func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met within %s: %s", waitTimeout, condition)
		}
		time.Sleep(pollInterval)
	}
}

// awaitComplete waits until a dock returns a complete answer from all six shards to a lookup.
func (d *deployment) awaitComplete(dock int) {
	d.t.Helper()
	d.await(fmt.Sprintf("dock %d answers from all shards", dock), func() bool {
		a, err := d.query(dock, "lookup", "", `{"plate": 1}`)
		return err == nil && a.Outcome == "complete" && a.Coverage.Covered == 6
	})
}

// isReady reports whether a dock's readiness endpoint returns 200.
func (d *deployment) isReady(dock int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:7300/readyz", d.host("dock", dock)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(dock int) {
	d.t.Helper()
	d.await(fmt.Sprintf("dock %d is ready", dock), func() bool { return d.isReady(dock) })
}

// isKeeperReady reports whether a keeper's readiness endpoint returns 200.
func (d *deployment) isKeeperReady(keeper int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:7500/readyz", d.host("keeper", keeper)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the index of the first keeper that reports itself as the leader, or -1.
func (d *deployment) leader() int {
	for i := range d.keepers {
		response, err := http.Get(fmt.Sprintf("http://%s:7500/metrics?format=json", d.host("keeper", i)))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if isLeading(text) {
			return i
		}
	}
	return -1
}

// isLeading reports whether a metrics page contains keeper.is_leader with the value 1.
func isLeading(metricsPage []byte) bool {
	var readings []struct {
		Name  string   `json:"name"`
		Value *float64 `json:"value"`
	}
	if json.Unmarshal(metricsPage, &readings) != nil {
		return false
	}
	for _, r := range readings {
		if r.Name == "keeper.is_leader" && r.Value != nil && *r.Value == 1 {
			return true
		}
	}
	return false
}

func (d *deployment) awaitLeader() int {
	d.t.Helper()
	leader := -1
	d.await("a keeper leads", func() bool {
		leader = d.leader()
		return leader >= 0
	})
	return leader
}

// control sends a request to the control address of the stand-in backend servers and returns the
// response body. The request is a GET without a body, and a POST with one.
func (d *deployment) control(path, body string) []byte {
	d.t.Helper()
	url := fmt.Sprintf("http://%s:7900%s", d.host("standin", 0), path)
	var response *http.Response
	var err error
	if body == "" {
		response, err = http.Get(url)
	} else {
		response, err = http.Post(url, "application/json", strings.NewReader(body))
	}
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(d.t, err)
	assert.Equal(d.t, response.StatusCode, http.StatusOK, "%s", text)
	return bytes.TrimSpace(text)
}

// counters holds the counters of the stand-in backend servers that the tests use.
type counters struct {
	Totals struct {
		Started        uint64 `json:"started"`
		LateAfterDrain uint64 `json:"late_after_drain"`
		Crashes        uint64 `json:"crashes"`
		Violations     uint64 `json:"violations"`
	} `json:"totals"`
	Keys struct {
		Keys     int `json:"keys"`
		Repeated int `json:"repeated"`
	} `json:"keys"`
}

func (d *deployment) counters() counters {
	d.t.Helper()
	var c counters
	assert.NilError(d.t, json.Unmarshal(d.control("/v1/counters", ""), &c))
	return c
}

// newIdempotencyKey returns an idempotency key with the present time.
func newIdempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
