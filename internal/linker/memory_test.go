package linker

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// accountBytes is the memory for the messages of one process, largeBytes the size of a body, and manyCalls times
	// that is many times the memory.
	accountBytes = 8 << 20
	largeBytes   = 256 << 10
	manyCalls    = 200
)

// accounted is a server and a link, each with an account.
type accounted struct {
	server, client *reserver.Account
	link           *Link
	listening      *Server
	// release lets the handlers reply.
	release chan struct{}
}

// startAccounted starts a server whose handler replies with a body after release is closed.
func startAccounted(t *testing.T, reply []byte) *accounted {
	t.Helper()
	a := &accounted{
		server: reserver.New(accountBytes, timekeeper.System{}), client: reserver.New(accountBytes, timekeeper.System{}),
		release: make(chan struct{}),
	}
	mux := NewMux()
	Handle(mux, encoder.KindRelay, func(ctx context.Context, _ Peer, r encoder.RelayRequest) (encoder.RelayReply, error) {
		select {
		case <-a.release:
		case <-ctx.Done():
		}
		// The request is in use until here.
		runtime.KeepAlive(r.Body)
		return encoder.RelayReply{Body: reply}, nil
	})
	var err error
	a.listening, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), Self{Host: "server"}, mux, timekeeper.System{}, WithAccount(a.server))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = a.listening.Close() })
	a.link = NewLink(a.listening.Address(), Self{Host: "client"}, timekeeper.System{}, WithAccount(a.client))
	t.Cleanup(func() { _ = a.link.Close() })
	return a
}

// call sends a request with a body.
func (a *accounted) call(ctx context.Context, body []byte) error {
	_, err := Call[encoder.RelayRequest, encoder.RelayReply](ctx, a.link, encoder.KindRelay, encoder.RelayRequest{Body: body})
	return err
}

// expectEmpty waits until both accounts hold nothing.
func (a *accounted) expectEmpty(t *testing.T) {
	t.Helper()
	for range 300 {
		if a.server.Used() == 0 && a.client.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d and %d bytes are still held", a.server.Used(), a.client.Used())
}

// TestMessagesThatFindNoRoomAreRefused guards against clients of one host that make another one hold their bodies. The
// host refuses what it cannot hold, at once, and small messages pass.
func TestMessagesThatFindNoRoomAreRefused(t *testing.T) {
	a := startAccounted(t, nil)
	body := bytes.Repeat([]byte("x"), largeBytes)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var mutex sync.Mutex
	refused := 0
	calls := sync.WaitGroup{}
	for range manyCalls {
		calls.Go(func() {
			err := a.call(t.Context(), body)
			if err == nil {
				return
			}
			assert.Check(t, errors.Is(err, ErrFull), "%v", err)
			assert.Check(t, errors.Is(err, ErrNotSent) || errors.Is(err, ErrRemote), "%v", err)
			mutex.Lock()
			defer mutex.Unlock()
			refused++
		})
	}
	time.Sleep(300 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&during)
	assert.Check(t, a.server.Used() <= accountBytes, "%d bytes", a.server.Used())
	assert.Check(t, during.HeapAlloc <= before.HeapAlloc+2*accountBytes, "%d MB", (during.HeapAlloc-before.HeapAlloc)>>20)
	small := make(chan error, 1)
	go func() { small <- a.call(t.Context(), []byte("small")) }()
	close(a.release)
	calls.Wait()
	assert.NilError(t, <-small)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Assert(t, refused > 0 && refused < manyCalls, "%d of %d", refused, manyCalls)
	a.expectEmpty(t)
	assert.NilError(t, a.call(t.Context(), body))
	a.expectEmpty(t)
}

// TestMemoryOfMessagesIsReturned ends calls in the middle: their callers leave, or the connection breaks with messages
// in the queue, replies under way and replies that wait for room.
func TestMemoryOfMessagesIsReturned(t *testing.T) {
	a := startAccounted(t, bytes.Repeat([]byte("y"), largeBytes))
	body := bytes.Repeat([]byte("x"), largeBytes)
	for round := range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+5*round)*time.Millisecond)
		calls := sync.WaitGroup{}
		for range 40 {
			calls.Go(func() { _ = a.call(ctx, body) })
		}
		calls.Wait()
		cancel()
		a.expectEmpty(t)
	}
	close(a.release)
	calls := sync.WaitGroup{}
	for range 40 {
		calls.Go(func() { _ = a.call(t.Context(), body) })
	}
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, a.listening.Close())
	calls.Wait()
	a.expectEmpty(t)
}

// TestReplyThatFindsNoRoomIsLost guards against a refusal that promises that a request has not run, though its reply only
// found no room.
func TestReplyThatFindsNoRoomIsLost(t *testing.T) {
	a := startAccounted(t, bytes.Repeat([]byte("y"), largeBytes))
	close(a.release)
	hold := a.client.Open(netip.AddrPort{}, func() {})
	assert.NilError(t, hold.Reserve(t.Context(), accountBytes+1, reserver.Answer))
	err := a.call(t.Context(), nil)
	assert.Assert(t, errors.Is(err, ErrLost) && errors.Is(err, ErrFull), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRemote))
	hold.Close()
	assert.NilError(t, a.call(t.Context(), nil))
	a.expectEmpty(t)
}

// TestCallOverAClosedConnectionIsNotSent guards against a call that counts as lost, so that it may not be repeated, though
// its connection had ended before.
func TestCallOverAClosedConnectionIsNotSent(t *testing.T) {
	a := startAccounted(t, nil)
	c, err := a.link.connect(t.Context())
	assert.NilError(t, err)
	c.closeSocket()
	_, err = a.link.exchange(t.Context(), c, frame{typ: frameRequest, kind: encoder.KindRelay, payload: make([]byte, largeBytes)})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	a.expectEmpty(t)
}
