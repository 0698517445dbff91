package examples

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/settingsreader"
)

// deployment holds the expected contents of the example files of one deployment.
type deployment struct {
	folder   string
	network  netip.Prefix
	services []identifier.ServiceName
	// atMostOnce is an operation whose contract must have idempotent = false and scope = "one".
	atMostOnce identifier.OperationName
}

const (
	dockCount   = 16
	keeperCount = 3
	domainCount = 3
)

func TestPladevaerk(t *testing.T) {
	expectDeployment(t, deployment{
		folder:     "pladevaerk",
		network:    netip.MustParsePrefix("127.1.0.0/16"),
		services:   []identifier.ServiceName{"pressroom_desk", "prepress_planner", "archive_tickets", "invoice_ledger"},
		atMostOnce: "reorder",
	})
}

func TestSkogsaegarna(t *testing.T) {
	d := deployment{
		folder:     "skogsaegarna",
		network:    netip.MustParsePrefix("127.2.0.0/16"),
		services:   []identifier.ServiceName{"auktionsrum", "medlemsportal", "tillstand", "virkesrapport"},
		atMostOnce: "bid",
	}
	expectDeployment(t, d)
	for _, c := range readManifest(t, d).Contracts {
		assert.Equal(t, c.MinimumCoverage, 1.0, "%s %s", c.Service, c.Operation)
	}
}

func expectDeployment(t *testing.T, d deployment) {
	t.Helper()
	expectManifest(t, d, readManifest(t, d))
	members := expectKeepers(t, d)
	expectDocks(t, d, members)
}

func readManifest(t *testing.T, d deployment) *manifestreader.Manifest {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(d.folder, "manifest.toml"))
	assert.NilError(t, err)
	m, err := manifestreader.Parse(text)
	assert.NilError(t, err)
	return m
}

func expectManifest(t *testing.T, d deployment, m *manifestreader.Manifest) {
	t.Helper()
	services := map[identifier.ServiceName]bool{}
	urgencies := map[manifestreader.Urgency]bool{}
	merges := map[manifestreader.MergeRule]bool{}
	hasAtMostOnce := false
	for _, c := range m.Contracts {
		services[c.Service] = true
		urgencies[c.Urgency] = true
		merges[c.Merge] = true
		hasAtMostOnce = hasAtMostOnce || c.Operation == d.atMostOnce && !c.Idempotent && c.Scope == manifestreader.ScopeOne
	}
	for _, s := range d.services {
		assert.Assert(t, services[s], "no contract for %s", s)
	}
	assert.Equal(t, len(services), len(d.services))
	assert.Equal(t, len(urgencies), len(manifestreader.UrgencyValues()))
	assert.Equal(t, len(merges), len(manifestreader.MergeRuleValues()))
	assert.Assert(t, hasAtMostOnce, "%s does not run at most once", d.atMostOnce)
}

// expectKeepers checks the settings of all keepers and returns the list of keepers, which must be
// the same in all of them.
func expectKeepers(t *testing.T, d deployment) []settingsreader.KeeperMember {
	t.Helper()
	var members []settingsreader.KeeperMember
	folders := map[string]bool{}
	for _, path := range settingsFiles(t, d, "keepers", keeperCount) {
		k, err := settingsreader.ReadKeeper(path)
		assert.NilError(t, err)
		if members == nil {
			members = k.Keepers
		}
		assert.DeepEqual(t, k.Keepers, members, cmpopts.EquateComparable(netip.AddrPort{}))
		folders[k.DataFolder] = true
		assert.Equal(t, k.LinkAddress.Port(), uint16(7400))
		assert.Equal(t, k.OperatorAddress.Port(), uint16(7500))
		assert.Assert(t, d.network.Contains(k.LinkAddress.Addr()))
		assert.Equal(t, k.OperatorAddress.Addr(), k.LinkAddress.Addr())
	}
	assert.Equal(t, len(members), keeperCount)
	assert.Equal(t, len(folders), keeperCount)
	return members
}

func expectDocks(t *testing.T, d deployment, members []settingsreader.KeeperMember) {
	t.Helper()
	hosts := map[netip.Addr]bool{}
	names := map[identifier.HostName]bool{}
	perDomain := map[identifier.DomainName]int{}
	for _, path := range settingsFiles(t, d, "docks", dockCount) {
		s, err := settingsreader.ReadDock(path)
		assert.NilError(t, err)
		assert.Equal(t, filepath.Base(path), string(s.Host)+".toml")
		hosts[s.LinkAddress.Addr()] = true
		names[s.Host] = true
		perDomain[s.Domain]++
		for _, a := range []netip.AddrPort{s.LinkAddress, s.CallerAddress, s.OperatorAddress} {
			assert.Equal(t, a.Addr(), s.LinkAddress.Addr())
		}
		assert.Assert(t, d.network.Contains(s.LinkAddress.Addr()))
		assert.Equal(t, s.LinkAddress.Port(), uint16(7100))
		assert.Equal(t, s.CallerAddress.Port(), uint16(7200))
		assert.Equal(t, s.OperatorAddress.Port(), uint16(7300))
		assert.Equal(t, len(s.Keepers), len(members))
		for i, m := range members {
			assert.Equal(t, s.Keepers[i], m.Address)
		}
	}
	assert.Equal(t, len(hosts), dockCount)
	assert.Equal(t, len(names), dockCount)
	assert.Equal(t, len(perDomain), domainCount)
	for domain, n := range perDomain {
		assert.Assert(t, n >= dockCount/domainCount, "%s has %d docks", domain, n)
	}
}

// settingsFiles returns the paths of a role's settings files and checks their number.
func settingsFiles(t *testing.T, d deployment, role string, want int) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(d.folder, role, "*.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), want)
	return paths
}
