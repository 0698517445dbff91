package settingsreader

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxHosts is the maximum number of emulated entry hosts in one process.
	maxHosts   = 1000
	maxRetries = 10
)

// Baseline holds the settings of emulated entry hosts that send subrequests directly to backend
// servers.
type Baseline struct {
	Seed uint64
	// FirstAddress and Port are the address and port at which the first host accepts callers'
	// queries and servers' announcements. The other hosts use the consecutive addresses.
	FirstAddress netip.Addr
	Port         uint16
	Hosts        int
	// Retries is the maximum number of further replicas to try after a server refuses a subrequest
	// or breaks its connection.
	Retries    int
	Operations []Operation
}

// Operation describes how the results of an operation are merged.
type Operation struct {
	Name     identifier.OperationName
	Merge    manifestreader.MergeRule
	RowLimit int
}

// ReadBaseline reads the settings of the emulated entry hosts. It returns ErrInvalid if they cannot
// be used.
func ReadBaseline(path string) (*Baseline, error) {
	return read(path, parseBaseline)
}

func parseBaseline(t *tomlreader.Table) Baseline {
	b := Baseline{
		Seed:         seed(t),
		FirstAddress: loopback(t, "first_address"),
		Port:         uint16(count(t, "port", defaultPort, 1, 1<<16-1)),
		Hosts:        count(t, "hosts", 1, 1, maxHosts),
		Retries:      count(t, "retries", 0, 0, maxRetries),
	}
	for _, table := range t.Tables("operation") {
		_, merge, rowLimit := parseMerge(table)
		b.Operations = append(b.Operations, Operation{
			Name:     tomlreader.Required(table, "name", tomlreader.Name[identifier.OperationName]),
			Merge:    merge,
			RowLimit: rowLimit,
		})
	}
	return b
}
