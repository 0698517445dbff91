package receiver

import (
	"math"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"banyandock.example/banyandock/internal/settingsreader"
)

const (
	// megabyte is the unit of memory in the settings.
	megabyte = 1e6
	// memoryShare is the part of the process's memory that clients may hold. The garbage of as much again, connections,
	// links, servers and control take the rest.
	memoryShare = 0.25
	// minMemory has room for a few of the largest bodies on any machine.
	minMemory = 6 << 20
	// softShare is the part of a process's memory that its heap may use, where only a limit of the heap is known.
	softShare = 0.7
	// connectionShare is the part of the process's memory that clients' connections may use. Each is assumed to use
	// connectionBytes for buffers and a goroutine, and headerShare of the largest headers: few clients send these.
	connectionShare = 0.125
	connectionBytes = 16 << 10
	headerShare     = 0.25
	// descriptorShare is the part of the process's descriptors that clients' connections may use. Servers, links and
	// files take the rest.
	descriptorShare = 0.5
	// minConnections lets a load balancer's connections pass on any machine.
	minConnections = 64
	// supportShare and its bounds are the connections to an address for checks and operators.
	supportShare          = 0.0625
	minSupportConnections = 16
	maxSupportConnections = 256
	// supportMemory is the memory for the clients of such an address.
	supportMemory = 4 << 20
	// defaultStall is how long a client may send or read nothing.
	defaultStall = 10 * time.Second
	// defaultMinRate is the least rate of a body or a response, in bytes per second.
	defaultMinRate = 8 << 10
	// fallbackMemory and fallbackDescriptors are used if the system tells neither.
	fallbackMemory      = 1 << 30
	fallbackDescriptors = 1024
)

// Limits are the limits of the clients of one address.
type Limits struct {
	// Memory is the bytes that may be held for clients.
	Memory int64
	// Connections is the number of clients' connections.
	Connections int
	// Stall is how long a client may send or read nothing.
	Stall time.Duration
	// MinRate is the least rate of a body or a response, in bytes per second.
	MinRate int64
}

// Derive returns the limits of a process that may use a number of MB of memory and whose requests have headers of at most
// headerBytes. Zero MB means GOMEMLIMIT or, without it, the memory of the machine. Limits that the settings name replace those that are derived.
func Derive(memoryMB, headerBytes int, settings settingsreader.Clients) Limits {
	memory := int64(memoryMB) * megabyte
	if memory == 0 {
		memory = processMemory()
	}
	perConnection := connectionBytes + headerShare*float64(headerBytes)
	derived := Limits{
		Memory:      max(minMemory, int64(memoryShare*float64(memory))),
		Connections: min(int(connectionShare*float64(memory)/perConnection), int(descriptorShare*float64(descriptors()))),
		Stall:       defaultStall,
		MinRate:     defaultMinRate,
	}
	derived.Connections = max(minConnections, derived.Connections)
	if settings.ClientMemoryMB > 0 {
		derived.Memory = int64(settings.ClientMemoryMB) * megabyte
	}
	if settings.MaxConnections > 0 {
		derived.Connections = settings.MaxConnections
	}
	if settings.StallTimeout > 0 {
		derived.Stall = settings.StallTimeout
	}
	if settings.MinTransferRate > 0 {
		derived.MinRate = settings.MinTransferRate
	}
	return derived
}

// Support returns the limits of an address for checks and operators.
func Support() Limits {
	n := int(supportShare * float64(descriptors()))
	return Limits{
		Memory: supportMemory, Connections: min(max(n, minSupportConnections), maxSupportConnections), Stall: defaultStall, MinRate: defaultMinRate,
	}
}

// processMemory returns the memory that the process may use, in bytes.
func processMemory() int64 {
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		return int64(float64(soft) / softShare)
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return fallbackMemory
	}
	return int64(min(info.Totalram*uint64(info.Unit), math.MaxInt64))
}

// descriptors returns the number of files and connections that the process may have open.
func descriptors() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return fallbackDescriptors
	}
	return min(limit.Cur, math.MaxInt32)
}

// pace decides how long a transfer may take. It answers clients that stop short, or send or read a few bytes at
// a time.
type pace struct {
	stall   time.Duration
	minRate int64
	began   time.Time
	last    time.Time
	bytes   int64
}

// newPace returns the pace of a transfer that begins.
func (l Limits) newPace(now time.Time) pace {
	return pace{stall: l.Stall, minRate: l.MinRate, began: now, last: now}
}

// advance records bytes that were sent or taken.
func (p *pace) advance(now time.Time, n int) {
	if n > 0 {
		p.last = now
		p.bytes += int64(n)
	}
}

// deadline returns the time of the next byte: the transfer may pause for the stall time, and is that much behind its
// least rate at most.
func (p *pace) deadline() time.Time {
	due := time.Duration(float64(p.bytes) / float64(p.minRate) * float64(time.Second))
	behind := p.began.Add(p.stall + due)
	if stalled := p.last.Add(p.stall); stalled.Before(behind) {
		return stalled
	}
	return behind
}
