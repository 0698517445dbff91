package linker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

// relay forwards bytes between two sockets. While isDropping is set it discards them without
// closing a socket, like a network that drops packets.
type relay struct {
	listener   net.Listener
	target     string
	isDropping atomic.Bool
	tasks      sync.WaitGroup

	mutex   sync.Mutex
	sockets []net.Conn
}

func startRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target.String()}
	r.tasks.Add(1)
	go r.run()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	for _, s := range r.sockets {
		_ = s.Close()
	}
	r.mutex.Unlock()
	r.tasks.Wait()
}

func (r *relay) run() {
	defer r.tasks.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mutex.Lock()
		r.sockets = append(r.sockets, near, far)
		r.mutex.Unlock()
		r.tasks.Add(2)
		go r.copyBytes(near, far)
		go r.copyBytes(far, near)
	}
}

func (r *relay) copyBytes(from, to net.Conn) {
	defer r.tasks.Done()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !r.isDropping.Load() {
				_ = to.Close()
			}
			return
		}
		if r.isDropping.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil && !errors.Is(err, io.EOF) {
			return
		}
	}
}

func TestSilentDisconnectIsDetected(t *testing.T) {
	started := make(chan struct{}, 1)
	s := startEcho(t, func(ctx context.Context, q text) (text, error) {
		if q.Text == "wait" {
			started <- struct{}{}
			<-ctx.Done()
			return text{}, ctx.Err()
		}
		return q, nil
	})
	r := startRelay(t, s.Address())
	l := NewLink(r.address(), Self{Host: "client"}, timekeeper.System{})
	t.Cleanup(func() { _ = l.Close() })
	_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{"a"})
	assert.NilError(t, err)
	// A probe detects the broken connection long before peerTimeout. A call detects it after
	// peerTimeout.
	ended := make(chan error, 1)
	go func() {
		_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{"wait"})
		ended <- err
	}()
	<-started
	r.isDropping.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, l.Probe(ctx), context.DeadlineExceeded)
	assert.ErrorIs(t, <-ended, ErrLost)
	r.isDropping.Store(false)
	_, err = Call[text, text](t.Context(), l, encoder.KindStatus, text{"b"})
	assert.NilError(t, err)
}
