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

// darkAddress is an address whose host does not answer the opening of a connection: its queue
// is full.
func darkAddress(t *testing.T) netip.AddrPort {
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
	t.Skip("this system's queue of connections does not fill")
	return address
}

// TestDarkHostIsDialledAgain counts the attempts to reach a host that is dark. The system
// repeats its opening packet only after a second, so waiting for it delays a host's return.
func TestDarkHostIsDialledAgain(t *testing.T) {
	link := linker.NewLink(darkAddress(t), linker.Self{Host: "a", Incarnation: 1}, timekeeper.System{})
	defer func() { assert.NilError(t, link.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	for range 5 {
		err := linker.Send(ctx, link, encoder.KindPoll, struct{}{})
		assert.Assert(t, errors.Is(err, linker.ErrNotSent), "%v", err)
		time.Sleep(150 * time.Millisecond)
	}
	// Five attempts that wait for the repeated packet take more than five seconds.
	assert.Assert(t, time.Since(began) < 5*time.Second, "%v", time.Since(began))
}
