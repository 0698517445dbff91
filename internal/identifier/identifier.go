// Package identifier defines the names and numbers that identify hosts, callers, services,
// shards and requests. It contains no logic beyond formatting and hashing, so that every other
// package can depend on it.
package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// HostName is the name of a host that runs a dock or a keeper. It is unique in a deployment.
type HostName string

// DomainName is the name of a failure domain.
type DomainName string

// RegionName is the name of a region, which contains several failure domains.
type RegionName string

// ServiceName is the name of a service that backend servers provide.
type ServiceName string

// CallerName is the name of a caller for which contracts are declared.
type CallerName string

// CustomerName is the name of a customer whose callers identify themselves with keys.
type CustomerName string

// OperationName is the name of an operation of a service.
type OperationName string

// IndexVersion is the number of a version of a service's index. A higher number is newer.
type IndexVersion uint64

// ShardNumber is the number of a shard within one index version, from 0 to the shard count
// minus 1.
type ShardNumber uint32

// Epoch is the number of a view. The upper 32 bits are the term of the leader that published
// it, and the lower 32 bits count the views that this leader has published.
type Epoch uint64

// NewEpoch combines a leader's term and its view counter.
func NewEpoch(term uint64, sequence uint32) Epoch {
	return Epoch(term<<32 | uint64(sequence))
}

// String formats an epoch as term.counter.
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d", uint64(e)>>32, uint32(e))
}

// Incarnation is a random number that a process generates when it starts. It distinguishes a
// restarted process from its predecessor of the same name.
type Incarnation uint64

// NewIncarnation returns a random incarnation that is not zero.
func NewIncarnation() Incarnation {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

// RequestID identifies one request of a caller across all processes.
type RequestID [16]byte

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID(uuid.New())
}

// String formats a request identifier as a UUID in hexadecimal groups.
func (r RequestID) String() string {
	return uuid.UUID(r).String()
}

// Fingerprint identifies requests with equal service, operation and body. It is used to
// recognise requests that crash backend servers.
type Fingerprint uint64

// NewFingerprint hashes the parts of a request that a backend server receives.
func NewFingerprint(service ServiceName, operation OperationName, body []byte) Fingerprint {
	d := xxhash.New()
	// xxhash's Write never returns an error.
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(operation))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Shard identifies one shard of one index version of a service.
type Shard struct {
	Service ServiceName
	Version IndexVersion
	Number  ShardNumber
}

// String formats a shard as service/version/number.
func (s Shard) String() string {
	return fmt.Sprintf("%s/%d/%d", s.Service, s.Version, s.Number)
}
