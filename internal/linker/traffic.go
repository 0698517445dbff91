package linker

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and system calls of a link's sockets. It is safe for concurrent use.
type Traffic struct {
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
	writes        atomic.Uint64
	reads         atomic.Uint64
}

// TrafficCount is a snapshot of a Traffic. Writes and Reads are numbers of system calls. On a
// link with little traffic they equal the number of packets with payload.
type TrafficCount struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Writes        uint64
	Reads         uint64
}

// count returns a snapshot of the counters.
func (t *Traffic) count() TrafficCount {
	return TrafficCount{
		SentBytes:     t.sentBytes.Load(),
		ReceivedBytes: t.receivedBytes.Load(),
		Writes:        t.writes.Load(),
		Reads:         t.reads.Load(),
	}
}

// add returns the sum of two snapshots.
func (c TrafficCount) add(other TrafficCount) TrafficCount {
	return TrafficCount{
		SentBytes:     c.SentBytes + other.SentBytes,
		ReceivedBytes: c.ReceivedBytes + other.ReceivedBytes,
		Writes:        c.Writes + other.Writes,
		Reads:         c.Reads + other.Reads,
	}
}

// countingSocket counts a socket's bytes and system calls.
type countingSocket struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the socket and counts the bytes and the call.
func (s countingSocket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.traffic.receivedBytes.Add(uint64(n))
	s.traffic.reads.Add(1)
	return n, err
}

// Write writes to the socket and counts the bytes and the call.
func (s countingSocket) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.traffic.sentBytes.Add(uint64(n))
	s.traffic.writes.Add(1)
	return n, err
}
