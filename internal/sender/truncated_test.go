package sender_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/sender"
)

// framings are whole replies to the request "id" with the body "body", each framed in another way.
var framings = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nRequest: id\r\nStamp: x\r\nContent-Length: 4\r\n\r\nbody",
	"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest: id\r\nStamp: x\r\n\r\nbody",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest: id\r\nStamp: x\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"until close":       "HTTP/1.1 200 OK\r\nRequest: id\r\nStamp: x\r\n\r\nbody",
	"bare line feeds":   "HTTP/1.1 200 OK\nRequest: id\nStamp: x\nContent-Length: 4\n\nbody",
	"informational":     "HTTP/1.1 103 Early Hints\r\nRequest: id\r\n\r\nHTTP/1.1 200 OK\r\nRequest: id\r\nContent-Length: 4\r\n\r\nbody",
	"continued header":  "HTTP/1.1 200 OK\r\nRequest: id\r\nStamp: x\r\n y\r\nContent-Length: 4\r\n\r\nbody",
	"without any field": "HTTP/1.0 200 OK\r\n\r\nbody",
}

// headLength returns the length of a reply up to the end of its last head.
func headLength(text string) int {
	i := strings.LastIndex(text, "\r\n\r\nbody")
	switch {
	case strings.Contains(text, "chunked"):
		return strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	case i < 0:
		return strings.Index(text, "\n\n") + len("\n\n")
	}
	return i + len("\r\n\r\n")
}

// sendToTruncated sends a request to a server that closes the connection, or resets it, after a part of its
// reply.
func sendToTruncated(t *testing.T, part string, isReset bool) (sender.Reply, error) {
	t.Helper()
	server := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = c.Write([]byte(part))
		if isReset {
			// Without lingering, the connection is reset.
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	return send(newSender(t), server.destination(), "id", time.Second)
}

// TestReplyThatEndsWithinItsHeadIsLost guards against a reply whose server stops within its head and closes,
// and which is passed on as a whole one with a short body. No reply that is cut off anywhere is whole, but for
// one that ends with its connection.
func TestReplyThatEndsWithinItsHeadIsLost(t *testing.T) {
	for name, text := range framings {
		for n := range len(text) {
			for _, isReset := range []bool{false, true} {
				what := fmt.Sprintf("%s, %d bytes, reset %t", name, n, isReset)
				reply, err := sendToTruncated(t, text[:n], isReset)
				mayEndThere := n >= headLength(text) && !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked")
				if mayEndThere && !isReset {
					continue
				}
				assert.Assert(t, errors.Is(err, sender.ErrLost) || errors.Is(err, sender.ErrNotSent) && n == 0, "%s: %v %+v", what, err, reply)
			}
		}
	}
}
