package dockrunner

import (
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// viewOf builds a view from hosts and servers in the form "name/incarnation/state".
func viewOf(hosts, servers string) encoder.View {
	var v encoder.View
	for _, text := range strings.Fields(hosts) {
		parts := strings.Split(text, "/")
		h := encoder.Host{Name: identifier.HostName(parts[0]), Incarnation: identifier.Incarnation(parts[1][0])}
		if parts[2] == "draining" {
			h.State = encoder.HostDraining
		}
		v.Hosts = append(v.Hosts, h)
	}
	for _, text := range strings.Fields(servers) {
		parts := strings.Split(text, "/")
		s := encoder.Server{Address: netip.MustParseAddrPort(parts[0]), Incarnation: identifier.Incarnation(parts[1][0])}
		if parts[2] == "draining" {
			s.State = encoder.ServerDraining
		}
		v.Servers = append(v.Servers, s)
	}
	return v
}

// expectChange compares two views and checks the fields of the difference.
func expectChange(t *testing.T, before, after encoder.View, want string) {
	t.Helper()
	var parts []string
	for _, f := range compareViews(before, after).fields() {
		parts = append(parts, f.Name+"="+f.Value)
	}
	assert.Equal(t, strings.Join(parts, " "), want)
}

func TestViewChangesAreListed(t *testing.T) {
	full := viewOf("a/1/ready b/1/ready", "127.0.0.1:1/1/ready 127.0.0.2:1/1/ready")
	expectChange(t, full, full, "")
	expectChange(t, encoder.View{}, full, "hosts_new=a,b servers_new=127.0.0.1:1,127.0.0.2:1")
	expectChange(t, full, encoder.View{}, "hosts_gone=a,b servers_gone=127.0.0.1:1,127.0.0.2:1")
	expectChange(t, full, viewOf("a/2/ready b/1/draining", "127.0.0.1:1/1/draining 127.0.0.2:1/2/ready"),
		"hosts_new=a hosts_draining=b servers_new=127.0.0.2:1 servers_draining=127.0.0.1:1")
	expectChange(t, viewOf("b/1/draining", ""), viewOf("b/1/draining", ""), "")
	expectChange(t, encoder.View{}, viewOf("a/1/x b/1/x c/1/x d/1/x e/1/x f/1/x g/1/x h/1/x i/1/x", ""),
		"hosts_new=a,b,c,d,e,f,g,h,... (9)")
}
