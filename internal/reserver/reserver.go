// Package reserver accounts for the bytes that a process holds for its clients: bodies that are being read and
// answers that are being gathered or written. Bytes are reserved before they are buffered, so that no number
// of clients makes the process exceed its memory. It answers the load pattern of many large transfers that stop
// short or are read slowly.
package reserver

import (
	"container/list"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/timekeeper"
)

// Use is what bytes are reserved for.
type Use uint8

// Uses.
const (
	// Request bytes hold a request that has not run. It may be refused.
	Request Use = iota
	// Answer bytes hold an answer of a request that ran. It would be lost by a refusal.
	Answer
)

const (
	// requestShare is the part of an account that requests may use. The rest is for the answers of requests that
	// have run, which cannot be refused any more.
	requestShare = 0.75
	// addressShare is the part of what is available that one address may use. It is large, because one address
	// may stand for all callers, if they come through a load balancer.
	addressShare = 0.75
	// connectionShare is the part that one connection may use, which carries several requests in HTTP/2.
	connectionShare = 0.5
	// largeShare is the part of an account that answers of more than smallBytes may use together, so that servers that
	// send without end leave room for requests and for small answers.
	largeShare = 0.375
	smallBytes = 64 << 10
	// stallTime is how long a transfer must have made no progress before it is ended to make room. Retransmissions
	// take up to 200 ms on a healthy network.
	stallTime = 500 * time.Millisecond
	// MinProgress is how many bytes a transfer must move until that counts as progress. With less in stallTime it is below
	// 8 KiB a second, and clients that send a byte at a time would hold their memory while others wait for it.
	MinProgress = 4 << 10
	// maxRequestWait is how long a request waits for room. It exceeds stallTime, so that stalled transfers are ended
	// for it before it is refused.
	maxRequestWait = time.Second
	// checkInterval is the time between two searches for stalled transfers while something waits.
	checkInterval = 50 * time.Millisecond
)

var (
	// ErrFull reports that the bytes do not fit into the account.
	ErrFull = eris.New("no memory is left for clients")
	// ErrUnneeded reports that the request for which bytes were to be reserved has ended.
	ErrUnneeded = eris.New("the request has ended")
)

// Account holds the reserved bytes of all clients. It is safe for concurrent use.
type Account struct {
	// Set at creation.
	total int64
	clock timekeeper.Clock

	// Guarded by mutex.
	mutex sync.Mutex
	used  int64
	// large is the part of used that large answers use.
	large       int64
	addresses   map[netip.Addr]int64
	connections map[netip.AddrPort]int64
	// transfers holds the Holds whose clients are sending or reading, least recent progress first.
	transfers list.List
	evictions int64
	// excess is the Hold that may exceed the account until it is closed, or nil. Of the Holds that were forked from one
	// only one at a time may.
	excess *Hold
	// freed is closed and replaced when bytes are released.
	freed chan struct{}
}

// New returns an account of a number of bytes.
func New(total int64, clock timekeeper.Clock) *Account {
	return &Account{
		total: total, clock: clock, freed: make(chan struct{}),
		addresses: map[netip.Addr]int64{}, connections: map[netip.AddrPort]int64{},
	}
}

// Total returns the size of the account.
func (a *Account) Total() int64 { return a.total }

// Used returns the reserved bytes.
func (a *Account) Used() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.used
}

// Evictions returns the number of transfers that were ended to make room.
func (a *Account) Evictions() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.evictions
}

// Hold is what one request of a client has reserved. A nil Hold accounts for nothing.
type Hold struct {
	// Set at creation.
	account *Account
	from    netip.AddrPort
	// parent is the Hold that this one was forked from, or nil.
	parent *Hold
	// evict ends the transfer. It is called with the mutex of the account and must not block.
	evict func()

	// Guarded by the account's mutex. place is nil while the client is neither sending nor reading.
	bytes int64
	// large is the part of bytes that large answers use.
	large      int64
	place      *list.Element
	progressAt time.Time
	// moved is the number of bytes since progressAt.
	moved     int64
	isEvicted bool
	// isClosed is written with the mutex held.
	isClosed atomic.Bool
}

// Open returns an empty Hold for a request from an address. evict must end the request's transfer without blocking. The
// limits of addresses and connections do not apply to the zero AddrPort. A nil Account returns a nil Hold.
func (a *Account) Open(from netip.AddrPort, evict func()) *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a, from: from, evict: evict}
}

// Fork returns an empty Hold for the reply of a server to a request, which may be read after the request has ended. It
// does not count against the limits of the client before it is merged. It must be closed or merged.
func (h *Hold) Fork() *Hold {
	if h == nil {
		return nil
	}
	return &Hold{account: h.account, parent: h, evict: func() {}}
}

// Merge moves the bytes of another Hold of the account, such as one that was forked from this one, to this one, and closes
// it. If this one is closed, they are released.
func (h *Hold) Merge(other *Hold) {
	if h == nil || other == nil {
		return
	}
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !h.isClosed.Load() {
		if a.excess == other {
			a.excess = h
		}
		h.large += other.large
		a.large += other.large
		h.add(other.bytes, Request)
	}
	other.close()
}

// isUnneeded reports whether the request of a Hold that was forked has ended.
func (h *Hold) isUnneeded() bool {
	if h == nil || h.parent == nil {
		return false
	}
	return h.parent.isClosed.Load()
}

// Reserve adds bytes to the Hold. If they do not fit, it waits until the context ends, and bytes of a request for
// maxRequestWait at most. It then returns ErrFull. A closed Hold reserves nothing. A Hold that was forked from a closed
// one returns ErrUnneeded.
func (h *Hold) Reserve(ctx context.Context, n int64, use Use) error {
	if h == nil {
		return nil
	}
	if h.isUnneeded() {
		return ErrUnneeded
	}
	freed := h.tryReserve(n, use)
	if freed == nil {
		return nil
	}
	h.EndTransfer()
	if use == Request {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxRequestWait)
		defer cancel()
	}
	ticker := h.account.clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for ; freed != nil; freed = h.tryReserve(n, use) {
		select {
		case <-freed:
		case <-ticker.C:
		case <-ctx.Done():
			return ErrFull
		}
		if h.isUnneeded() {
			return ErrUnneeded
		}
	}
	return nil
}

// TryReserve adds bytes to the Hold and reports whether they fit. It does not wait.
func (h *Hold) TryReserve(n int64, use Use) bool {
	return h == nil || h.tryReserve(n, use) == nil
}

// Move returns a new Hold of the same account with the bytes of this one, which it closes. The bytes are then held until the
// new one is closed.
func (h *Hold) Move() *Hold {
	if h == nil {
		return nil
	}
	moved := &Hold{account: h.account, evict: func() {}}
	moved.Merge(h)
	return moved
}

// Split moves bytes of the Hold, which has at least as many unless it is closed, to a new one of the same account, in
// which they do not count against the limits of a client.
func (h *Hold) Split(n int64) *Hold {
	if h == nil {
		return nil
	}
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	split := &Hold{account: a, evict: func() {}}
	n = min(n, h.bytes)
	h.add(-n, Request)
	split.add(n, Request)
	return split
}

// tryReserve adds bytes to the Hold. If they do not fit, it ends stalled transfers and returns a channel that is
// closed when bytes are released. One Hold at a time may exceed the account: that of a request that is alone,
// because the limits of bodies allow it, or of an answer, because two answers that are half gathered could
// otherwise wait for each other's room.
func (h *Hold) tryReserve(n int64, use Use) <-chan struct{} {
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h.isClosed.Load() {
		return nil
	}
	isAccountFull, isClientFull := h.exceeds(n, use)
	isFull := isAccountFull || isClientFull
	isAlone := a.used == h.bytes
	switch {
	case isFull && (isAlone || use == Answer) && (a.excess == nil || a.excess == h || a.excess == h.parent):
		a.excess = h
		h.add(n, use)
		return nil
	case isClientFull:
		a.evictStalled(n, h.from.Addr())
	case isAccountFull:
		a.evictStalled(n, netip.Addr{})
	default:
		h.add(n, use)
		return nil
	}
	return a.freed
}

// exceeds reports whether more bytes do not fit into the account, or into the share of the client. The
// account's mutex must be held.
func (h *Hold) exceeds(n int64, use Use) (isAccountFull, isClientFull bool) {
	a, from := h.account, h.from
	available := float64(a.total)
	if use == Request {
		available *= requestShare
	}
	isAccountFull = float64(a.used+n) > available || isLarge(n, use) && float64(a.large+n) > largeShare*float64(a.total)
	if from.IsValid() {
		isClientFull = float64(a.addresses[from.Addr()]+n) > available*addressShare ||
			float64(a.connections[from]+n) > available*connectionShare
	}
	return isAccountFull, isClientFull
}

// isLarge reports whether bytes are part of a large answer.
func isLarge(n int64, use Use) bool { return use == Answer && n > smallBytes }

// evictStalled ends transfers that have stalled, the longest first, until enough bytes are to be released. If the address
// is valid, it ends only transfers of that address. The mutex must be held.
func (a *Account) evictStalled(wanted int64, of netip.Addr) {
	stalledBefore := a.clock.Now().Add(-stallTime)
	var next *list.Element
	for e := a.transfers.Front(); e != nil && wanted > 0; e = next {
		next = e.Next()
		h, _ := e.Value.(*Hold)
		if h.progressAt.After(stalledBefore) {
			return
		}
		if of.IsValid() && h.from.Addr() != of {
			continue
		}
		h.leaveTransfers()
		h.isEvicted = true
		a.evictions++
		wanted -= h.bytes
		h.evict()
	}
}

// Progress records that the client has sent or taken n bytes since the last call. It returns false once the
// transfer was ended.
func (h *Hold) Progress(n int) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h.isEvicted || h.isClosed.Load() {
		return false
	}
	h.moved += int64(n)
	switch {
	case h.place == nil:
		h.place = a.transfers.PushBack(h)
	case h.moved >= MinProgress:
		a.transfers.MoveToBack(h.place)
	default:
		return true
	}
	h.progressAt, h.moved = a.clock.Now(), 0
	return true
}

// EndTransfer records that the process does not wait for the client.
func (h *Hold) EndTransfer() {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.leaveTransfers()
}

// Release returns bytes of the Hold that were reserved for a use.
func (h *Hold) Release(n int64, use Use) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if !h.isClosed.Load() {
		h.add(-n, use)
	}
}

// Close returns all bytes of the Hold. Later reservations have no effect.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.close()
}

// close is Close for a caller that holds the account's mutex.
func (h *Hold) close() {
	h.leaveTransfers()
	if h.account.excess == h {
		h.account.excess = nil
	}
	h.account.large -= h.large
	h.large = 0
	h.add(-h.bytes, Request)
	h.isClosed.Store(true)
}

// leaveTransfers removes the Hold from the transfers. The account's mutex must be held.
func (h *Hold) leaveTransfers() {
	if h.place != nil {
		h.account.transfers.Remove(h.place)
		h.place = nil
	}
}

// add changes the reserved bytes and wakes the waiting requests if bytes are released. The account's mutex must be held.
func (h *Hold) add(n int64, use Use) {
	a := h.account
	h.bytes += n
	a.used += n
	if isLarge(max(n, -n), use) {
		change := max(n, -h.large)
		h.large += change
		a.large += change
	}
	address := h.from.Addr()
	if a.addresses[address] += n; a.addresses[address] == 0 {
		delete(a.addresses, address)
	}
	if a.connections[h.from] += n; a.connections[h.from] == 0 {
		delete(a.connections, h.from)
	}
	if n < 0 {
		close(a.freed)
		a.freed = make(chan struct{})
	}
}

// holdKey is the key of a Hold in a context.
type holdKey struct{}

// WithHold returns a context that carries a Hold.
func WithHold(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, h)
}

// HoldOf returns the Hold that a context carries, or nil.
func HoldOf(ctx context.Context) *Hold {
	h, _ := ctx.Value(holdKey{}).(*Hold)
	return h
}
