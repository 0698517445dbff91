package linker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// text is the request and reply type of the tests.
type text struct{ Text string }

func startEcho(t *testing.T, f func(ctx context.Context, q text) (text, error)) *Server {
	t.Helper()
	mux := NewMux()
	Handle(mux, encoder.KindStatus, func(ctx context.Context, _ Peer, q text) (text, error) {
		return f(ctx, q)
	})
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Self{Host: "server"}, mux, timekeeper.System{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func startLink(t *testing.T, s *Server) *Link {
	t.Helper()
	l := NewLink(s.Address(), Self{Host: "client"}, timekeeper.System{})
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func TestCallReturnsReply(t *testing.T) {
	s := startEcho(t, func(_ context.Context, q text) (text, error) { return text{q.Text + "!"}, nil })
	l := startLink(t, s)
	a, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{"plate"})
	assert.NilError(t, err)
	assert.Equal(t, a.Text, "plate!")
}

func TestCallReportsRemoteError(t *testing.T) {
	s := startEcho(t, func(context.Context, text) (text, error) { return text{}, errors.New("no such plate") })
	l := startLink(t, s)
	_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{})
	assert.ErrorIs(t, err, ErrRemote)
	assert.ErrorContains(t, err, "no such plate")
}

func TestCallIsNotSentWithoutListener(t *testing.T) {
	l := NewLink(netip.MustParseAddrPort("127.0.0.1:1"), Self{}, timekeeper.System{})
	_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{})
	assert.ErrorIs(t, err, ErrNotSent)
}

func TestCancelReachesHandler(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	s := startEcho(t, func(ctx context.Context, _ text) (text, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return text{}, ctx.Err()
	})
	l := startLink(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := Call[text, text](ctx, l, encoder.KindStatus, text{})
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

func TestCallIsLostWhenServerCloses(t *testing.T) {
	started := make(chan struct{})
	s := startEcho(t, func(ctx context.Context, _ text) (text, error) {
		close(started)
		<-ctx.Done()
		return text{}, ctx.Err()
	})
	l := startLink(t, s)
	go func() {
		<-started
		_ = s.Close()
	}()
	_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{})
	assert.Assert(t, errors.Is(err, ErrLost) || errors.Is(err, ErrRemote), "%v", err)
}

func TestLinkReconnects(t *testing.T) {
	echo := func(_ context.Context, q text) (text, error) { return q, nil }
	s := startEcho(t, echo)
	l := startLink(t, s)
	_, err := Call[text, text](t.Context(), l, encoder.KindStatus, text{"a"})
	assert.NilError(t, err)
	mux := s.mux
	address := s.Address()
	assert.NilError(t, s.Close())
	again, err := Listen(address, Self{Host: "server"}, mux, timekeeper.System{})
	assert.NilError(t, err)
	defer func() { _ = again.Close() }()
	for range 50 {
		_, err = Call[text, text](t.Context(), l, encoder.KindStatus, text{"b"})
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, err)
}

func TestProbeIsEchoedWhileHandlerIsBusy(t *testing.T) {
	s := startEcho(t, func(ctx context.Context, _ text) (text, error) {
		<-ctx.Done()
		return text{}, ctx.Err()
	})
	l := startLink(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := Call[text, text](ctx, l, encoder.KindStatus, text{})
		ended <- err
	}()
	assert.NilError(t, l.Probe(t.Context()))
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestHandshakeRefusesOtherVersions(t *testing.T) {
	payload, err := encoder.Encode(Hello{Magic: helloMagic, OldestVersion: NewestVersion + 1, NewestVersion: NewestVersion + 2})
	assert.NilError(t, err)
	_, err = acceptHello(frame{typ: frameHello, payload: payload})
	assert.ErrorIs(t, err, ErrHandshake)
	payload, err = encoder.Encode(Hello{Magic: helloMagic, OldestVersion: 1, NewestVersion: NewestVersion + 2})
	assert.NilError(t, err)
	p, err := acceptHello(frame{typ: frameHello, payload: payload})
	assert.NilError(t, err)
	assert.Equal(t, p.Version, NewestVersion)
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	assert.NilError(f, writeFrame(w, frame{typ: frameRequest, kind: encoder.KindPoll, id: 7, payload: []byte("x")}))
	assert.NilError(f, w.Flush())
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := readFrame(bufio.NewReader(bytes.NewReader(data)), nil)
		if err == nil {
			assert.Assert(t, len(got.payload) <= len(data))
			_, _ = acceptHello(got)
		}
	})
}
