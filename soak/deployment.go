package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/platform/standin"
)

// Sizes of a deployment.
const (
	keeperCount  = 5
	dockCount    = 8
	replicaCount = 2
	// crashServerCount is greater than the number of servers that a request may crash.
	crashServerCount = 10
	toleratedHosts   = 2
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
	// callTimeout bounds an HTTP request to a control or readiness address.
	callTimeout = 2 * time.Second
	// startTimeout bounds the time until a new deployment serves requests.
	startTimeout = time.Minute
	// crashDownTime is how long a backend server is down after a request has crashed it.
	crashDownTime = 5 * time.Second
	// pollInterval is the time between two checks of an awaited state.
	pollInterval = 50 * time.Millisecond
)

// Names of the services that are not shards.
const (
	serviceSingle = "single"
	serviceOnce   = "once"
	// serviceCrash runs requests that crash its servers.
	serviceCrash = "crash"
)

// otherProgramsFlag allows releases to run side by side, as while hosts are replaced.
var otherProgramsFlag = flag.String("soak.other", "", "the folder of built programs that run on every other host")

// layout describes what differs between the deployments of the soak's tests.
type layout struct {
	// crashRoute is the route of the requests that crash a server of each shard. Its shards are those
	// of the deployment.
	crashRoute standin.Route
	// shards is the number of shards.
	shards int
	// crashDelay is how long a request runs before it crashes its server, and downTime how long the
	// server is down then. If isSilentCrash is set, the server does not close its address before
	// downTime has passed.
	crashDelay    time.Duration
	downTime      time.Duration
	isSilentCrash bool
	// heartbeatInterval is how often backend servers announce themselves.
	heartbeatInterval time.Duration
	// crashes reports whether requests crash the servers of a service. If it is nil, they crash all.
	crashes func(service string) bool
}

// crashesServersOf reports whether requests crash the servers of a service.
func (l layout) crashesServersOf(service string) bool { return l.crashes == nil || l.crashes(service) }

// standardLayout is the layout of the deployments that get random faults. There are enough shards and
// docks for docks to own shards.
func standardLayout() layout {
	return layout{
		shards: 40, downTime: crashDownTime, heartbeatInterval: 500 * time.Millisecond,
		crashRoute: standin.Route{Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, RowLimit: 5, Coverage: 0.9},
	}
}

// crashPath is the start of the paths of requests that crash backend servers.
const crashPath = "/crash"

// deployment is a running deployment with its network and its backend servers.
type deployment struct {
	// Set at creation.
	folder   string
	programs string
	// otherPrograms is the folder with the programs of every other host, or empty if all run the same.
	otherPrograms string
	secondOctet   int
	thirdOctet    int
	layout        layout
	network       *network
	history       *history
	client        *http.Client
	// processes is keyed by host number: keepers are numbered from 1, docks follow them.
	processes map[int]*process

	// Guarded by mutex. version is the version of the last submitted configuration, and
	// serverNumber is the number of the last started backend server.
	mutex        sync.Mutex
	backends     []*standin.Backend
	isClosed     bool
	version      int
	serverNumber int
}

// startDeployment starts the processes and backend servers of a deployment. Its loopback addresses
// have the given second octet and third octets from thirdOctet to thirdOctet+2. If there is an
// error, the returned deployment still has to be closed.
func startDeployment(folder, programs string, secondOctet, thirdOctet int, l layout) (*deployment, error) {
	d := &deployment{
		layout: l, folder: folder, programs: programs, secondOctet: secondOctet, thirdOctet: thirdOctet, history: newHistory(),
		client: &http.Client{Timeout: callTimeout}, processes: map[int]*process{},

		otherPrograms: *otherProgramsFlag,
	}
	d.network = newNetwork(d.hostOf)
	for host := 1; host <= keeperCount+dockCount; host++ {
		if err := d.addHost(host, true); err != nil {
			return d, err
		}
	}
	for i := range l.shards * replicaCount {
		d.addBackend(shardName(i % l.shards))
	}
	for range replicaCount {
		d.addBackend(serviceSingle)
		d.addBackend(serviceOnce)
	}
	for range crashServerCount {
		d.addBackend(serviceCrash)
	}
	return d, nil
}

// publicAddress returns the address of a relay to the host. Connections from other hosts, callers
// and backend servers use it.
func (d *deployment) publicAddress(host, port int) netip.AddrPort {
	return d.address(d.thirdOctet, host, port)
}

// privateAddress returns the address at which the process of the host listens.
func (d *deployment) privateAddress(host, port int) netip.AddrPort {
	return d.address(d.thirdOctet+1, host, port)
}

func (d *deployment) address(thirdOctet, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(d.secondOctet), byte(thirdOctet), byte(host)}), uint16(port))
}

// hostOf returns the number of the host that has the address, or externalHost if none has it.
func (d *deployment) hostOf(a netip.Addr) int {
	b := a.As4()
	if int(b[1]) == d.secondOctet && int(b[2]) == d.thirdOctet+1 {
		return int(b[3])
	}
	return externalHost
}

// isKeeper reports whether a host runs a keeper.
func isKeeper(host int) bool { return host <= keeperCount }

// addHost starts the relays and the process of a host.
func (d *deployment) addHost(host int, mayForm bool) error {
	program, ports := "routedock", []int{portLink, portCaller, portReady}
	if isKeeper(host) {
		program, ports = "routekeeper", []int{portLink, portControl}
	}
	for _, port := range ports {
		if err := d.network.relay(host, d.publicAddress(host, port), d.privateAddress(host, port)); err != nil {
			return err
		}
	}
	p := &process{
		program:  filepath.Join(d.programsOf(host), program),
		settings: filepath.Join(d.folder, fmt.Sprintf("%s-%d.toml", program, host)),
		log:      filepath.Join(d.folder, fmt.Sprintf("%s-%d.log", program, host)),
	}
	d.processes[host] = p
	if err := d.writeSettings(host, mayForm); err != nil {
		return err
	}
	return p.start()
}

// programsOf returns the folder with the programs that a host runs.
func (d *deployment) programsOf(host int) string {
	if d.otherPrograms != "" && host%2 == 0 {
		return d.otherPrograms
	}
	return d.programs
}

// dataFolder returns the path of a keeper's data folder.
func (d *deployment) dataFolder(host int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data-%d", host))
}

// writeSettings writes the settings file of a host, and creates a keeper's data folder.
func (d *deployment) writeSettings(host int, mayForm bool) error {
	text := fmt.Sprintf(`host = "host-%d"
domain = "domain"
region = "region"
operator_address = "%s"
bind_address = "%s"
seeds = ["%s", "%s", "%s"]
keeper_link_port = %d
link_address = "%s"
`, host, d.privateAddress(host, portOperator), d.privateAddress(host, 1).Addr(), d.publicAddress(1, portControl), d.publicAddress(2, portControl),
		d.publicAddress(3, portControl), portLink, d.publicAddress(host, portLink))
	if isKeeper(host) {
		text += fmt.Sprintf("control_address = \"%s\"\ndata_folder = \"%s\"\nmay_form = %t\ntolerated_hosts = %d\nheartbeat_interval = \"%s\"\n",
			d.publicAddress(host, portControl), d.dataFolder(host), mayForm, toleratedHosts, d.layout.heartbeatInterval)
		if err := os.MkdirAll(d.dataFolder(host), 0o700); err != nil {
			return eris.Wrap(err, "data folder")
		}
	} else {
		text += fmt.Sprintf("caller_address = \"%s\"\nreadiness_address = \"%s\"\nrepeat_ratio = 0.2\nrepeat_slack = 200\ndrain_grace = \"1s\"\nfinish_timeout = \"2500ms\"\n",
			d.publicAddress(host, portCaller), d.publicAddress(host, portReady))
	}
	return eris.Wrap(os.WriteFile(d.processes[host].settings, []byte(text), 0o600), "settings")
}

// wipeDisk erases a keeper's data folder. The keeper must not run. Its new settings forbid it to
// form a new group.
func (d *deployment) wipeDisk(host int) error {
	if err := os.RemoveAll(d.dataFolder(host)); err != nil {
		return eris.Wrap(err, "wipe")
	}
	return d.writeSettings(host, false)
}

// addBackend starts a backend server of a service at an unused port.
func (d *deployment) addBackend(service string) {
	d.addBackendAt(service, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(d.secondOctet), byte(d.thirdOctet + 2), 1}), 0))
}

// restartBackend replaces a backend server that has crashed by a new one at its address, after the
// layout's downTime.
func (d *deployment) restartBackend(crashed *standin.Backend) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.backends = slices.DeleteFunc(d.backends, func(b *standin.Backend) bool { return b == crashed })
	time.AfterFunc(d.layout.downTime, func() {
		crashed.Close()
		d.addBackendAt(crashed.Service(), crashed.Address())
	})
}

// addBackendAt starts a backend server of a service at an address, unless the deployment has been
// closed.
func (d *deployment) addBackendAt(service string, at netip.AddrPort) {
	controls := []string{}
	for host := 1; host <= keeperCount; host++ {
		controls = append(controls, d.publicAddress(host, portControl).String())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.isClosed {
		return
	}
	d.serverNumber++
	options := []standin.Option{standin.WithMisdirected(d.history.recordMisdirected)}
	if l := d.layout; l.crashesServersOf(service) {
		options = append(options, standin.WithCrash(crashPath, d.restartBackend), standin.WithCrashDelay(l.crashDelay))
		if l.isSilentCrash {
			options = append(options, standin.WithSilentCrash())
		}
	}
	b, err := standin.NewBackend(fmt.Sprintf("server-%d", d.serverNumber), service, "domain", at, controls, d.layout.heartbeatInterval, d.history.recordRun, options...)
	if err != nil {
		d.history.expect(false, "backend server: %v", err)
		return
	}
	d.backends = append(d.backends, b)
}

// replaceBackend closes a random backend server and starts another one of the same service.
func (d *deployment) replaceBackend(random *rand.Rand) {
	old := d.takeBackend(random)
	old.Close()
	d.addBackend(old.Service())
}

// takeBackend removes a random backend server from the list. The caller must close it.
func (d *deployment) takeBackend(random *rand.Rand) *standin.Backend {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i := random.IntN(len(d.backends))
	b := d.backends[i]
	d.backends = append(d.backends[:i:i], d.backends[i+1:]...)
	return b
}

// randomBackend returns a random backend server.
func (d *deployment) randomBackend(random *rand.Rand) *standin.Backend {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.backends[random.IntN(len(d.backends))]
}

// shardName returns the name of the service of a shard.
func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// shardNames returns the names of the first shards.
func shardNames(count int) []string {
	list := []string{}
	for i := range count {
		list = append(list, shardName(i))
	}
	return list
}

// routes returns the routes of a configuration version. The prefix of the last route contains the
// version.
func (d *deployment) routes(version int) []standin.Route {
	shards := shardNames(d.layout.shards)
	crashAll := d.layout.crashRoute
	crashAll.Prefix, crashAll.Shards = crashPath+"-all/", shards
	return []standin.Route{
		{Prefix: "/all/", Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Shards: shards, RowLimit: 5, Coverage: 0.9},
		{Prefix: "/single/", Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Service: serviceSingle},
		{Prefix: "/once/", NonIdempotent: true, Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Service: serviceOnce},
		crashAll,
		{Prefix: crashPath + "-single/", Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Service: serviceCrash},
		{Prefix: fmt.Sprintf("/version-%d/", version), Timeout: 2 * time.Second, Service: serviceSingle},
	}
}

// routeOf returns the route of a path in all configuration versions.
func (d *deployment) routeOf(path string) standin.Route {
	all := d.routes(0)
	return all[slices.IndexFunc(all, func(r standin.Route) bool { return strings.HasPrefix(path, r.Prefix) })]
}

// submit submits a configuration with a new version to random keepers until one accepts it or the
// context ends. Retries after an unknown outcome send the same text.
func (d *deployment) submit(ctx context.Context, random *rand.Rand) {
	d.mutex.Lock()
	d.version += 1 + random.IntN(3)
	version := d.version
	d.mutex.Unlock()
	text := standin.Configuration(version, d.routes(version))
	d.history.recordSubmission(version, text)
	for ctx.Err() == nil {
		host := 1 + random.IntN(keeperCount)
		if standin.Submit(ctx, d.client, d.publicAddress(host, portControl).String(), text) {
			d.history.recordAcceptance(version)
			return
		}
		sleep(ctx, pollInterval)
	}
}

// readBack reads the configuration from a keeper and checks it. It returns false if the keeper does
// not return one, for example because it cannot confirm that its configuration is the newest.
func (d *deployment) readBack(ctx context.Context, host int) bool {
	before := d.history.acceptedVersion()
	version, text, ok := standin.ReadConfiguration(ctx, d.client, d.publicAddress(host, portControl).String())
	if ok {
		d.history.checkReadBack(before, version, text)
	}
	return ok
}

// close kills all processes and closes the backend servers and the network.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	d.mutex.Lock()
	d.isClosed = true
	backends := d.backends
	d.mutex.Unlock()
	for _, b := range backends {
		b.Close()
	}
	d.network.close()
	d.client.CloseIdleConnections()
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
