package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/timekeeper"
)

// legalBody is the largest body that the platform allows.
const legalBody = 256 << 10

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// echo answers with the body that it reads, after a time in which the body is held.
func echo(holding time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, status := ReadBody(w, r, legalBody)
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		select {
		case <-time.After(holding):
			_, _ = w.Write(body)
		case <-r.Context().Done():
			// The server takes a connection whose deadline has passed for one that the caller closed.
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
}

// serve starts a server with limits and returns its address.
func serve(t *testing.T, limits Limits, h http.Handler) (*Receiver, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := New("callers", limits, timekeeper.System{}, zerolog.Nop(), measurer.New())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan struct{})
	go func() {
		_ = r.Serve(server, listener)
		close(served)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
		r.Close()
	})
	return r, listener.Addr().String()
}

// send sends a request with a body, each piece after a pause, and returns the status of the response, or 0.
func send(t *testing.T, address string, pause time.Duration, length int, pieces ...string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	for _, p := range pieces {
		time.Sleep(pause)
		_, _ = io.WriteString(c, p)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// The defaults must refuse no burst of callers inside the limits: 50 of the largest bodies at once, from one
// address, on the smallest machine.
func TestBurstOfLegalBodiesIsServed(t *testing.T) {
	limits := Derive(136, 64<<10, settingsreader.Clients{})
	r, address := serve(t, limits, echo(200*time.Millisecond))
	statuses := make([]int, 50)
	senders := sync.WaitGroup{}
	for i := range statuses {
		senders.Go(func() { statuses[i] = send(t, address, 0, legalBody, strings.Repeat("x", legalBody)) })
	}
	senders.Wait()
	for _, status := range statuses {
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, r.counts(), counts{})
}

// A crowd whose bodies no handler reads must not hold all connections: the server would wait for the rest of each body.
func TestUnreadBodiesFreeTheirConnections(t *testing.T) {
	limits := Support()
	limits.Connections, limits.Stall = 8, 300*time.Millisecond
	_, address := serve(t, limits, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for range limits.Connections {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	}
	for range 100 {
		if send(t, address, 0, 0) == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("an ordinary request is never served")
}

// The defaults must not close a slow caller inside the limits.
func TestSlowLegalBodyIsServed(t *testing.T) {
	r, address := serve(t, Derive(136, 64<<10, settingsreader.Clients{}), echo(0))
	pieces := []string{}
	for range 10 {
		pieces = append(pieces, strings.Repeat("x", 100))
	}
	assert.Equal(t, send(t, address, 100*time.Millisecond, 1000, pieces...), http.StatusOK)
	assert.Equal(t, r.counts(), counts{})
}

func TestStalledBodyIsRefusedAsNotRun(t *testing.T) {
	limits := Support()
	limits.Stall = 300 * time.Millisecond
	r, address := serve(t, limits, echo(0))
	assert.Equal(t, send(t, address, 0, 1000, "x"), http.StatusRequestTimeout)
	assert.Equal(t, r.counts(), counts{slow: 1})
	assert.Equal(t, r.account.Used(), int64(0))
}

// The time limits apply to pauses: a body and a response that take several times as long are served. The
// client pauses for a quarter of the limit, so that it stays below on a busy machine.
func TestSteadyTransfersAreServed(t *testing.T) {
	const pause = 250 * time.Millisecond
	limits := Support()
	limits.Stall = 4 * pause
	r, address := serve(t, limits, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, status := ReadBody(w, q, legalBody)
		assert.Check(t, status == 0, "%d", status)
		_, _ = w.Write(bytes.Repeat([]byte("x"), 8<<20))
	}))
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(bufferBytes)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n")
	for range 16 {
		time.Sleep(pause)
		_, _ = io.WriteString(c, strings.Repeat("x", 4096))
	}
	received := 0
	for part := make([]byte, 512<<10); received < 8<<20; time.Sleep(pause) {
		n, err := io.ReadAtLeast(c, part, min(128<<10, 8<<20-received))
		received += n
		if err != nil {
			break
		}
	}
	assert.Assert(t, received >= 8<<20, "%d bytes", received)
	assert.Equal(t, r.counts(), counts{})
}

func TestSlowReaderIsClosed(t *testing.T) {
	limits := Support()
	limits.Stall = 300 * time.Millisecond
	failed := make(chan error, 1)
	r, address := serve(t, limits, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(bytes.Repeat([]byte("x"), 16<<20))
		failed <- err
	}))
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.Assert(t, <-failed != nil)
	assert.Equal(t, r.counts(), counts{slow: 1})
}

// A response whose client read slowly must not leave a deadline to the next request on its connection.
func TestDeadlinesEndWithTheirRequest(t *testing.T) {
	limits := Support()
	limits.Stall = 100 * time.Millisecond
	_, address := serve(t, limits, echo(150*time.Millisecond))
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, ExpectContinueTimeout: time.Second}}
	defer client.CloseIdleConnections()
	for range 3 {
		// A body that cannot be read again keeps the client from repeating a request on another connection.
		request, err := http.NewRequest(http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("body")))
		assert.NilError(t, err)
		request.Header.Set("Expect", "100-continue")
		response, err := client.Do(request)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "body")
		time.Sleep(150 * time.Millisecond)
	}
}

// Connections beyond the limit are refused as not run, and those that never send make room.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	limits := Support()
	limits.Connections = 4
	r, address := serve(t, limits, echo(0))
	for range 4 {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	assert.Equal(t, send(t, address, 0, 1, "x"), http.StatusServiceUnavailable)
	assert.Assert(t, r.connections.open() <= 4)
	time.Sleep(idleTime)
	assert.Equal(t, send(t, address, 0, 1, "x"), http.StatusOK)
}

// Connections that carry a request are not closed to make room.
func TestRequestsInProgressAreKept(t *testing.T) {
	limits := Support()
	limits.Connections = 4
	_, address := serve(t, limits, echo(idleTime+500*time.Millisecond))
	statuses := make(chan int, 3)
	for range cap(statuses) {
		go func() { statuses <- send(t, address, 0, 1, "x") }()
	}
	time.Sleep(idleTime + 200*time.Millisecond)
	assert.Equal(t, send(t, address, 0, 1, "x"), http.StatusServiceUnavailable)
	for range cap(statuses) {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

func TestPaceAllowsPausesAndLeastRate(t *testing.T) {
	began := time.Unix(1000, 0)
	p := Limits{Stall: 10 * time.Second, MinRate: 1000}.newPace(began)
	assert.Equal(t, p.deadline(), began.Add(10*time.Second))
	p.advance(began.Add(time.Second), 100_000)
	assert.Equal(t, p.deadline(), began.Add(11*time.Second), "after a pause")
	for i := range 20 {
		p.advance(began.Add(time.Duration(100+i)*time.Second), 1)
	}
	assert.Assert(t, p.deadline().Before(began.Add(111*time.Second)), "bytes that trickle do not count as pace")
}

func TestSettingsReplaceDerivedLimits(t *testing.T) {
	limits := Derive(136, 64<<10, settingsreader.Clients{ClientMemoryMB: 5, MaxConnections: 7, StallTimeout: time.Minute, MinTransferRate: 9})
	assert.Equal(t, limits, Limits{Memory: 5e6, Connections: 7, Stall: time.Minute, MinRate: 9})
	small := Derive(15, 64<<10, settingsreader.Clients{})
	assert.Equal(t, small, Limits{Memory: minMemory, Connections: minConnections, Stall: defaultStall, MinRate: defaultMinRate})
}

// Answers that are made from what the process holds, such as configurations, count before they are made.
func TestAnswersAreReservedBeforeTheyAreMade(t *testing.T) {
	limits := Support()
	made := make(chan struct{}, 50)
	released := make(chan struct{})
	_, address := serve(t, limits, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if Reserve(r, supportMemory/4) {
			made <- struct{}{}
			<-released
		}
	}))
	statuses := make(chan int, 10)
	for range cap(statuses) {
		go func() { statuses <- send(t, address, 0, 0) }()
	}
	assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
	assert.Assert(t, len(made) <= 3, "%d of a quarter each", len(made))
	close(released)
	for range cap(statuses) - 1 {
		<-statuses
	}
}

// A keeper starts again within its process: its metrics must be those of the new Receiver.
func TestMetricsAreThoseOfTheLastReceiver(t *testing.T) {
	registry := measurer.New()
	for _, memory := range []int64{1, 2} {
		r := New("control", Limits{Memory: memory}, timekeeper.System{}, zerolog.Nop(), registry)
		gauge, ok := registry.Metrics().Get("control.memory_limit").(metrics.Gauge)
		assert.Assert(t, ok)
		assert.Equal(t, gauge.Value(), memory)
		r.Close()
	}
}
