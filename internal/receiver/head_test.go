package receiver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendHead sends a head with many short lines in pieces and returns the status of the response, or 0 if the connection
// was closed without one.
func sendHead(t *testing.T, address string, lines, pieces int, pause time.Duration) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	text := strings.Builder{}
	text.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := range lines {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	text.WriteString("\r\n")
	for whole, n := text.String(), text.Len()/pieces+1; whole != ""; whole = whole[min(n, len(whole)):] {
		if _, err := io.WriteString(c, whole[:min(n, len(whole))]); err != nil {
			break
		}
		time.Sleep(pause)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// TestManySlowHeadsOfShortLinesAreBounded guards against clients that end the process by heads of legal size whose lines
// are so short that the parsed head is many times as large. Ordinary requests are served meanwhile.
func TestManySlowHeadsOfShortLinesAreBounded(t *testing.T) {
	const clients, lines = 40, 2400
	r, address := serve(t, Limits{Memory: 6 << 20, Connections: 100, Stall: time.Second, MinRate: 8 << 10}, echo(0))
	statuses := make(chan int, clients)
	for range clients {
		go func() { statuses <- sendHead(t, address, lines, 10, 50*time.Millisecond) }()
	}
	served, refused := 0, 0
	for range clients {
		assert.Equal(t, send(t, address, 0, 4, "body"), http.StatusOK)
		switch <-statuses {
		case http.StatusOK:
			served++
		default:
			refused++
		}
	}
	room := int(r.connections.headLimit) / (lines * lineBytes)
	assert.Assert(t, served >= 1 && served <= 2*room, "%d of %d served, room for %d at once", served, clients, room)
	assert.Equal(t, sendHead(t, address, lines, 1, 0), http.StatusOK, "the memory is free again")
	r.connections.mutex.Lock()
	defer r.connections.mutex.Unlock()
	assert.Equal(t, r.connections.heads, int64(0))
}

// TestLinesOfBodiesAreNoHeads guards against a request that is refused because its body has many lines, which may come with
// the head.
func TestLinesOfBodiesAreNoHeads(t *testing.T) {
	_, address := serve(t, Limits{Memory: 6 << 20, Connections: 100, Stall: time.Second, MinRate: 8 << 10}, echo(0))
	lines := strings.Repeat("\n", legalBody/2)
	assert.Equal(t, send(t, address, 10*time.Millisecond, legalBody, lines, lines), http.StatusOK)
	const text = "GET / HTTP/1.1\r\nHost: a\r\nx:\n\r\n"
	for size := 1; size <= len(text)+5; size++ {
		h := head{}
		for piece := range slices.Chunk([]byte(text+"\n\n\r\n\n\n"), size) {
			if !h.isReceived.Load() {
				h.countLines(piece)
			}
		}
		assert.Equal(t, h.lines.Load(), int64(3), "in pieces of %d bytes", size)
		assert.Assert(t, h.isReceived.Load())
	}
}

// TestPrefaceOfHTTP2 guards against the lines of heads being counted in the frames of HTTP/2.
func TestPrefaceOfHTTP2(t *testing.T) {
	for pieces, want := range map[string]bool{
		"PRI * HTTP/2.0": true, "P|RI| |* HTTP/2.0\n": true, "PUT / HTTP/1.1": false, "P|UT /": false, "GET /": false, "PRIVATE /": false, "PRI": false,
	} {
		h := head{}
		isHTTP2 := false
		for _, piece := range strings.Split(pieces, "|") {
			isHTTP2 = h.observePreface([]byte(piece))
		}
		assert.Equal(t, isHTTP2, want, pieces)
	}
}
