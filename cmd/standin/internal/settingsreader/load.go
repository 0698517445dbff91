package settingsreader

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	defaultLoadTime    = 10 * time.Second
	defaultTimeout     = time.Second
	defaultRowLimit    = 10
	maxRowLimit        = 10_000
	maxRate            = 100_000
	defaultConnections = 512
)

// Load holds the settings of the load generator.
type Load struct {
	// Seed determines the arrival times, classes and bodies.
	Seed uint64
	// Docks lists the addresses at which docks accept callers' queries. Queries go to them in turn.
	Docks []netip.AddrPort
	// Controls lists the control ports of the processes of backend servers.
	Controls []netip.AddrPort
	Service  identifier.ServiceName
	// Rate is the mean number of queries per second.
	Rate float64
	// WarmUp is how long queries are sent before the measurement starts.
	WarmUp   time.Duration
	Duration time.Duration
	// Bodies is the number of distinct bodies. Zero makes each body unique.
	Bodies int
	// Rows is the number of rows per shard and must equal the number in the servers' settings.
	Rows int
	// ConnectionsPerDock is the maximum number of idle connections kept open to each dock.
	ConnectionsPerDock int
	Classes            []Class
}

// Class is a kind of query, as a contract declares it.
type Class struct {
	Name      string
	Caller    identifier.CallerName
	Operation identifier.OperationName
	// Share is the relative weight of the class among all queries.
	Share    float64
	Timeout  time.Duration
	Scope    manifestreader.Scope
	Merge    manifestreader.MergeRule
	RowLimit int
	// IsKeyed reports whether each query carries a new idempotency key.
	IsKeyed bool
}

// ReadLoad reads the settings of the load generator. It returns ErrInvalid if they cannot be used.
func ReadLoad(path string) (*Load, error) {
	return read(path, parseLoad)
}

func parseLoad(t *tomlreader.Table) Load {
	l := Load{
		Seed:               seed(t),
		Docks:              addresses(t, "docks"),
		Controls:           addresses(t, "controls"),
		Service:            serviceName(t, "service"),
		Rate:               tomlreader.Required(t, "rate", tomlreader.Number(0.001, maxRate)),
		WarmUp:             duration(t, "warm_up", 0),
		Duration:           tomlreader.Optional(t, "duration", defaultLoadTime, tomlreader.Duration(time.Millisecond, maxDuration)),
		Bodies:             count(t, "bodies", 0, 0, maxCount),
		Rows:               count(t, "rows", defaultRows, 0, 1000),
		ConnectionsPerDock: count(t, "connections_per_dock", defaultConnections, 1, maxCount),
	}
	if len(l.Docks) == 0 {
		t.Report("docks", "at least one is needed")
	}
	tables := t.Tables("class")
	if len(tables) == 0 {
		t.Report("class", "at least one [[class]] table is needed")
	}
	for _, table := range tables {
		l.Classes = append(l.Classes, parseClass(table))
	}
	return l
}

func parseClass(t *tomlreader.Table) Class {
	scope, merge, rowLimit := parseMerge(t)
	return Class{
		Name:      tomlreader.Required(t, "name", tomlreader.Text),
		Caller:    tomlreader.Required(t, "caller", tomlreader.Name[identifier.CallerName]),
		Operation: tomlreader.Required(t, "operation", tomlreader.Name[identifier.OperationName]),
		Share:     tomlreader.Optional(t, "share", 1, tomlreader.Number(0.000001, maxCount)),
		Timeout:   tomlreader.Optional(t, "timeout", defaultTimeout, tomlreader.Duration(time.Millisecond, maxDuration)),
		Scope:     scope,
		Merge:     merge,
		RowLimit:  rowLimit,
		IsKeyed:   tomlreader.Optional(t, "keyed", false, tomlreader.Flag),
	}
}

// parseMerge reads the scope of an operation, the rule for merging its results and the row limit.
func parseMerge(t *tomlreader.Table) (manifestreader.Scope, manifestreader.MergeRule, int) {
	return tomlreader.Optional(t, "scope", manifestreader.ScopeAll, tomlreader.OneOf(manifestreader.ScopeValues())),
		tomlreader.Optional(t, "merge", manifestreader.MergeTopK, tomlreader.OneOf(manifestreader.MergeRuleValues())),
		count(t, "row_limit", defaultRowLimit, 1, maxRowLimit)
}
