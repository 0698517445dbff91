package sender_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/sender"
)

const (
	// endlessTimeout is how long the caller of a server without end would wait.
	endlessTimeout = 20 * time.Second
	// maxEndlessBytes is the number of bytes that a server without end may send before its connection
	// is closed.
	maxEndlessBytes = 32 << 20
	// maxEndlessMemory is how much memory the process may use for them.
	maxEndlessMemory = 48 << 20
)

// TestServerThatNeverEndsItsReply sends bytes without end where a reply is due, until the sender closes
// the connection.
func TestServerThatNeverEndsItsReply(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest: a\r\nStamp: x\r\n"
	block := strings.Repeat("x", 1000)
	for name, reply := range map[string]struct{ start, repeated string }{
		"status line":     {"", block},
		"header line":     {head + "Long: ", block},
		"headers":         {head, "Name-" + block[:50] + ": value\r\n"},
		"header names":    {head, "A: \r\n"},
		"informational":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":     {"", "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n"},
		"other replies":   {"", "HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 0\r\n\r\n"},
		"body":            {head + "\r\n", block},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + block + "\r\n"},
		"small chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":      {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n1;", block},
		"trailers":        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: " + block + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			s := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
				defer close(ended)
				_, _ = io.WriteString(c, reply.start)
				repeated := []byte(strings.Repeat(reply.repeated, 1+4096/len(reply.repeated)))
				for {
					n, err := c.Write(repeated)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err := send(newSender(t), s.destination(), "a", endlessTimeout)
			assert.Assert(t, errors.Is(err, sender.ErrLost), "%v", err)
			assert.Assert(t, time.Since(began) < endlessTimeout/2, "%s", time.Since(began))
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the connection is still open")
			}
			runtime.ReadMemStats(&after)
			assert.Assert(t, sent.Load() <= maxEndlessBytes, "%d bytes", sent.Load())
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc <= 4*maxEndlessMemory, "%d MB", (after.TotalAlloc-before.TotalAlloc)>>20)
			assert.Assert(t, after.Sys-before.Sys <= maxEndlessMemory, "%d MB", (after.Sys-before.Sys)>>20)
		})
	}
}
