package keeperrunner

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// measurementTime is the duration of each measurement.
	measurementTime = 10 * time.Second
	// serversPerDock is how many backend servers announce themselves at one dock.
	serversPerDock = 7
	// announceInterval is how often a server announces itself.
	announceInterval = 2 * time.Second
	// packetBytes is the size of the IPv4 and TCP headers with TCP timestamps.
	packetBytes = 52
	// clockTicks is the number of clock ticks per second in /proc/PID/stat.
	clockTicks = 100
)

// keeperProcess is a keeper that runs as a separate process.
type keeperProcess struct {
	command  *exec.Cmd
	address  netip.AddrPort
	operator netip.AddrPort
}

// freePort returns a loopback address with a port that was free when it was probed.
func freePort(b *testing.B) netip.AddrPort {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startKeepers builds the keeper program and starts a group of n keepers.
func startKeepers(b *testing.B, n int) []*keeperProcess {
	b.Helper()
	folder := b.TempDir()
	program := filepath.Join(folder, "keeper")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = "../../cmd/keeper"
	output, err := build.CombinedOutput()
	assert.NilError(b, err, "%s", output)
	group := make([]*keeperProcess, n)
	members := ""
	for i := range group {
		group[i] = &keeperProcess{address: freePort(b), operator: freePort(b)}
		members += fmt.Sprintf("[[keeper]]\nname = \"k%d\"\naddress = \"%s\"\n", i, group[i].address)
	}
	for i, k := range group {
		settings := filepath.Join(folder, fmt.Sprintf("k%d.toml", i))
		text := fmt.Sprintf("host = \"k%d\"\ndomain = \"a\"\nregion = \"r\"\nlink_address = \"%s\"\noperator_address = \"%s\"\ndata_folder = \"%s\"\n%s",
			i, k.address, k.operator, filepath.Join(folder, fmt.Sprint(i)), members)
		assert.NilError(b, os.WriteFile(settings, []byte(text), 0o600))
		k.command = exec.Command(program, "--settings", settings)
		assert.NilError(b, k.command.Start())
		b.Cleanup(func() {
			_ = k.command.Process.Kill()
			_ = k.command.Wait()
		})
	}
	return group
}

// processorTime returns the CPU time that the keeper's process has used.
func (k *keeperProcess) processorTime(b *testing.B) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", k.command.Process.Pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

// ownProcessorTime returns the CPU time that this process has used.
func ownProcessorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costDock is the control side of a dock, with the backend servers that announce themselves to it.
type costDock struct {
	pool    *linker.Pool
	poller  *poller.Poller
	servers []encoder.Server
}

func startCostDock(i int, keepers []*keeperProcess) *costDock {
	clock := timekeeper.System{}
	name := identifier.HostName(fmt.Sprintf("dock-%03d", i))
	domain := identifier.DomainName(fmt.Sprintf("domain-%d", i%8))
	self := linker.Self{Host: name, Incarnation: identifier.NewIncarnation(), LogicalClock: tracer.NewHybridClock(clock)}
	d := &costDock{pool: linker.NewPool(self, clock)}
	host := encoder.Host{Name: name, Domain: domain, Incarnation: self.Incarnation, State: encoder.HostReady, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
	var seeds []netip.AddrPort
	for _, k := range keepers {
		seeds = append(seeds, k.address)
	}
	d.poller = poller.New(func() encoder.Host { return host }, seeds, poller.LinkCaller{Pool: d.pool}, clock, manifestreader.Parse)
	for n := range serversPerDock {
		shard := identifier.ShardNumber(i*serversPerDock + n)
		d.servers = append(d.servers, encoder.Server{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(shard >> 8), byte(shard)}), 7000), Service: "pressroom_desk",
			Domain: domain, Incarnation: identifier.NewIncarnation(), State: encoder.ServerReady, Slots: 2, Connections: 55,
			Holdings: []encoder.Holding{{Version: 41, Shard: shard, ShardCount: 1200}},
		})
	}
	return d
}

// costRun is one measurement.
type costRun struct {
	keepers []*keeperProcess
	docks   []*costDock
	number  uint64
}

// announceAll announces every backend server once.
func (r *costRun) announceAll() {
	for _, d := range r.docks {
		for _, s := range d.servers {
			d.poller.Announce(s)
		}
	}
}

// toggleServer changes the state of one server, which changes the view.
func (r *costRun) toggleServer(n int) {
	d := r.docks[n%len(r.docks)]
	s := &d.servers[n%serversPerDock]
	s.State = encoder.ServerReady - s.State
	d.poller.Announce(*s)
}

// submit submits the next manifest until a keeper accepts it.
func (r *costRun) submit(b *testing.B) {
	b.Helper()
	example, err := os.ReadFile("../../examples/pladevaerk/manifest.toml")
	assert.NilError(b, err)
	r.number++
	text := strings.Replace(string(example), "number = 1\n", fmt.Sprintf("number = %d\n", r.number), 1)
	parsed, err := manifestreader.Parse([]byte(text))
	assert.NilError(b, err)
	assert.Equal(b, parsed.Number, r.number)
	q := encoder.SubmitRequest{Manifest: encoder.ManifestText{Number: parsed.Number, Digest: parsed.Digest, Text: []byte(text)}}
	for range 100 {
		for _, k := range r.keepers {
			a, err := linker.Call[encoder.SubmitRequest, encoder.SubmitReply](b.Context(), r.docks[0].pool.Link(k.address), encoder.KindSubmit, q)
			if err == nil && a.Outcome == encoder.SubmitAccepted {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("manifest was not accepted")
}

// isSettled reports whether all docks are fresh and have the complete view and the newest manifest.
func (r *costRun) isSettled() bool {
	for _, d := range r.docks {
		s := d.poller.State()
		if !d.poller.IsFresh() || s.ManifestText.Number != r.number || len(s.View.Hosts) != len(r.docks) || len(s.View.Servers) != len(r.docks)*serversPerDock {
			return false
		}
	}
	return true
}

// traffic returns the sum of the traffic on the docks' links.
func (r *costRun) traffic() linker.TrafficCount {
	var sum linker.TrafficCount
	for _, d := range r.docks {
		c := d.pool.Traffic()
		sum.SentBytes += c.SentBytes
		sum.ReceivedBytes += c.ReceivedBytes
		sum.Writes += c.Writes
		sum.Reads += c.Reads
	}
	return sum
}

// leader returns the leader of the keepers, or the first keeper if no leader is known.
func (r *costRun) leader() *keeperProcess {
	for _, k := range r.keepers {
		if k.address == r.docks[0].poller.Leader() {
			return k
		}
	}
	return r.keepers[0]
}

// measureCost reports the cost of the control side per dock, for the docks and for the leader.
func measureCost(b *testing.B, keepers, docks int, isChurning bool) {
	r := &costRun{keepers: startKeepers(b, keepers)}
	for i := range docks {
		r.docks = append(r.docks, startCostDock(i, r.keepers))
	}
	defer func() {
		for _, d := range r.docks {
			d.poller.Close()
			_ = d.pool.Close()
		}
	}()
	r.submit(b)
	for startedAt := time.Now(); !r.isSettled(); r.announceAll() {
		if time.Since(startedAt) > 30*time.Second {
			b.Fatal("docks did not settle")
		}
		time.Sleep(announceInterval)
	}
	traffic, used, leader := r.traffic(), ownProcessorTime(b), r.leader()
	leaderUsed := leader.processorTime(b)
	startedAt := time.Now()
	for tick := 1; time.Since(startedAt) < measurementTime; tick++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(tick) * time.Second)))
		if tick%2 == 0 {
			r.announceAll()
		}
		if isChurning {
			r.toggleServer(tick)
		}
		if isChurning && tick%5 == 0 {
			r.submit(b)
		}
	}
	seconds := time.Since(startedAt).Seconds()
	after := r.traffic()
	perDock := func(n uint64) float64 { return float64(n) / seconds / float64(docks) }
	payload := perDock(after.SentBytes - traffic.SentBytes + after.ReceivedBytes - traffic.ReceivedBytes)
	packets := perDock(after.Writes - traffic.Writes + after.Reads - traffic.Reads)
	b.ReportMetric(payload, "payload_B/s")
	b.ReportMetric(packets, "packets/s")
	b.ReportMetric(payload+packets*packetBytes, "with_headers_B/s")
	b.ReportMetric(float64((ownProcessorTime(b)-used).Microseconds())/seconds/float64(docks)/1e4, "dock_core_%")
	b.ReportMetric(float64((leader.processorTime(b)-leaderUsed).Microseconds())/seconds/float64(docks)/1e4, "leader_core_%/dock")
	b.ReportMetric(heapBytes()/float64(docks)/1024, "heap_KiB/dock")
	b.ReportMetric(0, "ns/op")
}

// heapBytes returns the size of heap and stacks after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkControlCost measures the control side of docks against keeper processes. Run it with
// -benchtime=1x. Churn is one change of the view per second and a new manifest every 5 s.
func BenchmarkControlCost(b *testing.B) {
	for _, keepers := range []int{3, 5} {
		for _, docks := range []int{20, 50, 100} {
			for _, name := range []string{"idle", "churn"} {
				b.Run(fmt.Sprintf("keepers=%d/docks=%d/%s", keepers, docks, name), func(b *testing.B) {
					measureCost(b, keepers, docks, name == "churn")
				})
			}
		}
	}
}
