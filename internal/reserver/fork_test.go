package reserver_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

const forkTotal = 32 << 20

// newFork returns an account, and the Hold of a request and one that was forked from it.
func newFork() (*reserver.Account, *reserver.Hold, *reserver.Hold) {
	a := reserver.New(forkTotal, timekeeper.System{})
	h := a.Open(netip.MustParseAddrPort("127.0.0.1:1"), func() {})
	return a, h, h.Fork()
}

// TestReplyThatOutlivesItsRequestIsCounted guards against the bytes of replies that are read after their requests were
// answered and that no account counts.
func TestReplyThatOutlivesItsRequestIsCounted(t *testing.T) {
	a, h, f := newFork()
	assert.NilError(t, f.Reserve(t.Context(), 1<<20, reserver.Answer))
	h.Close()
	assert.Equal(t, a.Used(), int64(1<<20))
	assert.Assert(t, errors.Is(f.Reserve(t.Context(), 1, reserver.Answer), reserver.ErrUnneeded))
	_, err := f.ReadAll(t.Context(), bytes.NewReader(make([]byte, 10)), 10, 100, reserver.Answer)
	assert.Assert(t, errors.Is(err, reserver.ErrUnneeded))
	h.Merge(f)
	assert.Equal(t, a.Used(), int64(0))
}

// TestMergedReplyBelongsToItsRequest checks that the bytes of a reply are released with its request.
func TestMergedReplyBelongsToItsRequest(t *testing.T) {
	a, h, f := newFork()
	body, err := f.ReadAll(t.Context(), bytes.NewReader(make([]byte, 100_000)), -1, 1<<20, reserver.Answer)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 100_000)
	h.Merge(f)
	assert.Assert(t, a.Used() >= 100_000)
	h.Close()
	assert.Equal(t, a.Used(), int64(0))
}

// TestReplyThatEndsWhileItIsReadIsDropped lets a request end in the middle of a reply, and while a reply waits for room.
func TestReplyThatEndsWhileItIsReadIsDropped(t *testing.T) {
	a, h, f := newFork()
	reader, writer := io.Pipe()
	ended := make(chan error)
	go func() {
		_, err := f.ReadAll(t.Context(), reader, 1<<20, 1<<20, reserver.Answer)
		f.Close()
		ended <- err
	}()
	_, err := writer.Write([]byte("first"))
	assert.NilError(t, err)
	h.Close()
	// Fails if the first read was after the request's end already.
	_ = writer.Close()
	assert.Assert(t, errors.Is(<-ended, reserver.ErrUnneeded))
	assert.Equal(t, a.Used(), int64(0))

	full := a.Open(netip.AddrPort{}, func() {})
	assert.NilError(t, full.Reserve(t.Context(), forkTotal+1, reserver.Answer))
	h = a.Open(netip.AddrPort{}, func() {})
	f = h.Fork()
	go func() { ended <- f.Reserve(t.Context(), 1, reserver.Answer) }()
	time.Sleep(20 * time.Millisecond)
	h.Close()
	assert.Assert(t, errors.Is(<-ended, reserver.ErrUnneeded))
}

// TestLargeAnswersLeaveRoom guards against servers that send without end and take all the room of requests and of other
// servers' answers.
func TestLargeAnswersLeaveRoom(t *testing.T) {
	a, _, _ := newFork()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for range 20 {
		// Each reply is of a request of its own and grows as far as it may.
		f := a.Open(netip.AddrPort{}, func() {}).Fork()
		for range 4 {
			_ = f.Reserve(ctx, 1<<20, reserver.Answer)
		}
	}
	h := a.Open(netip.AddrPort{}, func() {})
	began := time.Now()
	assert.NilError(t, h.Reserve(t.Context(), 64<<10, reserver.Request))
	assert.NilError(t, h.Fork().Reserve(t.Context(), 64<<10, reserver.Answer))
	assert.Assert(t, time.Since(began) < 50*time.Millisecond)
}

// TestLargeShareIsReturned checks that what large answers release can be used by others.
func TestLargeShareIsReturned(t *testing.T) {
	a, h, f := newFork()
	for range 100 {
		_, err := f.ReadAll(t.Context(), bytes.NewReader(make([]byte, 3<<20)), -1, 4<<20, reserver.Answer)
		assert.NilError(t, err)
		h.Merge(f)
		h.Close()
		assert.Equal(t, a.Used(), int64(0))
		h = a.Open(netip.AddrPort{}, func() {})
		f = h.Fork()
	}
}

// TestSplitBytesOutliveTheirHold guards against bytes that are released while something still holds them.
func TestSplitBytesOutliveTheirHold(t *testing.T) {
	a := reserver.New(100, timekeeper.System{})
	h := a.Open(netip.MustParseAddrPort("127.0.0.1:1"), func() {})
	assert.NilError(t, h.Reserve(t.Context(), 20, reserver.Request))
	split := h.Split(15)
	h.Close()
	assert.Equal(t, a.Used(), int64(15))
	split.Close()
	assert.Equal(t, a.Used(), int64(0))
	late := h.Split(15)
	assert.Equal(t, a.Used(), int64(0))
	late.Close()
}
