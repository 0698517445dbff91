package settingsreader

import (
	"math"
	"time"

	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxConnections limits max_connections.
	maxConnections = 1 << 20
	// minStallTimeout and maxStallTimeout limit stall_timeout. A shorter time would end transfers that lose a packet.
	minStallTimeout = time.Second
	maxStallTimeout = 10 * time.Minute
)

// Clients holds the limits on clients that the deployment does not control: callers, backend servers and operators.
// Zero means the default.
type Clients struct {
	// ClientMemoryMB is the memory in MB that may be held for clients.
	ClientMemoryMB int
	// MaxConnections is the number of connections that clients may have open.
	MaxConnections int
	// StallTimeout is how long a client may send or read nothing in the middle of a body or a response.
	StallTimeout time.Duration
	// MinTransferRate is the least rate of a body or a response, in bytes per second.
	MinTransferRate int64
}

// readClients reads the limits on clients.
func readClients(t *tomlreader.Table) Clients {
	return Clients{
		ClientMemoryMB:  int(tomlreader.Optional(t, "client_memory_mb", 0, tomlreader.Number(0, maxMemory))),
		MaxConnections:  int(tomlreader.Optional(t, "max_connections", 0, tomlreader.Integer(0, maxConnections))),
		StallTimeout:    tomlreader.Optional(t, "stall_timeout", 0, tomlreader.Duration(minStallTimeout, maxStallTimeout)),
		MinTransferRate: tomlreader.Optional(t, "min_transfer_rate", 0, tomlreader.Integer(0, math.MaxInt32)),
	}
}
