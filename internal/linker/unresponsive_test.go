package linker_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/timekeeper"
)

// unresponsiveAddress returns the address of a listener that does not answer SYN packets,
// because its accept queue is full.
func unresponsiveAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name.(*unix.SockaddrInet4).Port))
	for range 3 {
		c, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Skip("the accept queue does not fill on this system")
	return address
}

// TestUnresponsiveHostIsRedialledPromptly guards against waiting for TCP's retransmitted SYN,
// which the system sends only after a second. That would delay reconnecting to a host that has
// become reachable again.
func TestUnresponsiveHostIsRedialledPromptly(t *testing.T) {
	link := linker.NewLink(unresponsiveAddress(t), linker.Self{Host: "a", Incarnation: 1}, timekeeper.System{})
	defer func() { assert.NilError(t, link.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	for range 5 {
		err := linker.Send(ctx, link, encoder.KindPoll, struct{}{})
		assert.Assert(t, errors.Is(err, linker.ErrNotSent), "%v", err)
		time.Sleep(150 * time.Millisecond)
	}
	// Five attempts that wait for the retransmitted SYN take more than five seconds.
	assert.Assert(t, time.Since(began) < 5*time.Second, "%v", time.Since(began))
}
