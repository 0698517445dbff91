package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/platform/standin"
)

// Sizes of a deployment: shards and docks suffice for owners of shards.
const (
	keeperCount    = 5
	dockCount      = 8
	shardCount     = 40
	replicaCount   = 2
	toleratedHosts = 2
)

// Ports of all hosts.
const (
	portLink     = 7380
	portOperator = 7381
	portControl  = 8106
	portCaller   = 8104
	portReady    = 8108
)

const (
	// heartbeatInterval is how often backend servers announce themselves.
	heartbeatInterval = 500 * time.Millisecond
	// callTimeout bounds a call of the operator.
	callTimeout = 2 * time.Second
	// startTimeout bounds the time until a new deployment serves.
	startTimeout = time.Minute
	// pollInterval is how often a state that must come about is looked at.
	pollInterval = 50 * time.Millisecond
)

// names of services beside the shards.
const (
	serviceSingle = "single"
	serviceOnce   = "once"
)

// deployment is a running deployment with its surroundings.
type deployment struct {
	// Set at creation.
	folder   string
	programs string
	second   int
	third    int
	network  *network
	history  *history
	client   *http.Client
	// processes holds keepers first, then docks, by host number from 1.
	processes map[int]*process

	// Guarded by mutex.
	mutex    sync.Mutex
	backends []*standin.Backend
	version  int
	serial   int
}

// open starts a deployment. The numbers choose its loopback addresses.
func open(folder, programs string, second, third int) (*deployment, error) {
	d := &deployment{
		folder: folder, programs: programs, second: second, third: third, history: newHistory(),
		client: &http.Client{Timeout: callTimeout}, processes: map[int]*process{},
	}
	d.network = newNetwork(d.hostOf)
	for host := 1; host <= keeperCount+dockCount; host++ {
		if err := d.add(host, true); err != nil {
			return d, err
		}
	}
	for i := range shardCount * replicaCount {
		d.addBackend(fmt.Sprintf("shard-%d", i%shardCount))
	}
	for range replicaCount {
		d.addBackend(serviceSingle)
		d.addBackend(serviceOnce)
	}
	return d, nil
}

// public and private are where others reach a host, and where it is.
func (d *deployment) public(host, port int) netip.AddrPort { return d.address(d.third, host, port) }

func (d *deployment) private(host, port int) netip.AddrPort { return d.address(d.third+1, host, port) }

func (d *deployment) address(third, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(d.second), byte(third), byte(host)}), uint16(port))
}

// hostOf tells who connects from an address.
func (d *deployment) hostOf(a netip.Addr) int {
	b := a.As4()
	if int(b[1]) == d.second && int(b[2]) == d.third+1 {
		return int(b[3])
	}
	return outside
}

// isKeeper tells whether a host is a keeper.
func isKeeper(host int) bool { return host <= keeperCount }

// add makes a host known and starts its program.
func (d *deployment) add(host int, mayForm bool) error {
	program, ports := "routedock", []int{portLink, portCaller, portReady}
	if isKeeper(host) {
		program, ports = "routekeeper", []int{portLink, portControl}
	}
	for _, port := range ports {
		if err := d.network.relay(host, d.public(host, port), d.private(host, port)); err != nil {
			return err
		}
	}
	p := &process{
		program:  filepath.Join(d.programs, program),
		settings: filepath.Join(d.folder, fmt.Sprintf("%s-%d.toml", program, host)),
		log:      filepath.Join(d.folder, fmt.Sprintf("%s-%d.log", program, host)),
	}
	d.processes[host] = p
	if err := d.configure(host, mayForm); err != nil {
		return err
	}
	return p.start()
}

// dataFolder is where a keeper has its files.
func (d *deployment) dataFolder(host int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data-%d", host))
}

// configure writes a host's settings.
func (d *deployment) configure(host int, mayForm bool) error {
	text := fmt.Sprintf(`host = "host-%d"
domain = "domain"
region = "region"
operator_address = "%s"
bind_address = "%s"
seeds = ["%s", "%s", "%s"]
keeper_link_port = %d
link_address = "%s"
`, host, d.private(host, portOperator), d.private(host, 1).Addr(), d.public(1, portControl), d.public(2, portControl),
		d.public(3, portControl), portLink, d.public(host, portLink))
	if isKeeper(host) {
		text += fmt.Sprintf("control_address = \"%s\"\ndata_folder = \"%s\"\nmay_form = %t\ntolerated_hosts = %d\nheartbeat_interval = \"%s\"\n",
			d.public(host, portControl), d.dataFolder(host), mayForm, toleratedHosts, heartbeatInterval)
		if err := os.MkdirAll(d.dataFolder(host), 0o700); err != nil {
			return eris.Wrap(err, "data folder")
		}
	} else {
		text += fmt.Sprintf("caller_address = \"%s\"\nreadiness_address = \"%s\"\nrepeat_ratio = 0.2\nrepeat_slack = 200\ndrain_grace = \"1s\"\nfinish_timeout = \"2500ms\"\n",
			d.public(host, portCaller), d.public(host, portReady))
	}
	return eris.Wrap(os.WriteFile(d.processes[host].settings, []byte(text), 0o600), "settings")
}

// wipe empties a keeper's disk while it is down.
func (d *deployment) wipe(host int) error {
	if err := os.RemoveAll(d.dataFolder(host)); err != nil {
		return eris.Wrap(err, "wipe")
	}
	return d.configure(host, false)
}

// addBackend starts a backend server.
func (d *deployment) addBackend(service string) {
	controls := []string{}
	for host := 1; host <= keeperCount; host++ {
		controls = append(controls, d.public(host, portControl).String())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.serial++
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(d.second), byte(d.third + 2), 1}), 0)
	b, err := standin.NewBackend(fmt.Sprintf("server-%d", d.serial), service, "domain", at, controls, heartbeatInterval, d.history.ran)
	if err != nil {
		d.history.expect(false, "backend server: %v", err)
		return
	}
	d.backends = append(d.backends, b)
}

// replaceBackend ends a backend server, and starts another of its service.
func (d *deployment) replaceBackend(random *rand.Rand) {
	d.mutex.Lock()
	i := random.IntN(len(d.backends))
	old := d.backends[i]
	d.backends = append(d.backends[:i:i], d.backends[i+1:]...)
	d.mutex.Unlock()
	old.Close()
	d.addBackend(old.Service())
}

// anyBackend returns some backend server.
func (d *deployment) anyBackend(random *rand.Rand) *standin.Backend {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.backends[random.IntN(len(d.backends))]
}

// routes are those of a version. Each version adds one under its own prefix.
func routes(version int) []standin.Route {
	shards := []string{}
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("shard-%d", i))
	}
	return []standin.Route{
		{Prefix: "/all/", Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Shards: shards, RowLimit: 5, Coverage: 0.9},
		{Prefix: "/single/", Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Service: serviceSingle},
		{Prefix: "/once/", NonIdempotent: true, Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Service: serviceOnce},
		{Prefix: fmt.Sprintf("/version-%d/", version), Timeout: 2 * time.Second, Service: serviceSingle},
	}
}

// submit sends a further configuration to some keeper, until one accepts it or the context ends.
// Resends of what has an unclear end go elsewhere, unchanged.
func (d *deployment) submit(ctx context.Context, random *rand.Rand) {
	d.mutex.Lock()
	d.version += 1 + random.IntN(3)
	version := d.version
	d.mutex.Unlock()
	text := standin.Configuration(version, routes(version))
	d.history.send(version, text)
	for ctx.Err() == nil {
		host := 1 + random.IntN(keeperCount)
		if standin.Submit(ctx, d.client, d.public(host, portControl).String(), text) {
			d.history.accept(version)
			return
		}
		sleep(ctx, pollInterval)
	}
}

// readBack asks a keeper for the configuration and checks it. It returns false if the keeper is not
// sure.
func (d *deployment) readBack(ctx context.Context, host int) bool {
	before := d.history.newest()
	version, text, ok := standin.ReadConfiguration(ctx, d.client, d.public(host, portControl).String())
	if ok {
		d.history.read(before, version, text)
	}
	return ok
}

// close ends everything that the soak started.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	d.mutex.Lock()
	backends := d.backends
	d.mutex.Unlock()
	for _, b := range backends {
		b.Close()
	}
	d.network.close()
	d.client.CloseIdleConnections()
}

// sleep waits unless the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
