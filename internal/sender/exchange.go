package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/statuschecker"
)

// exchange is one request over one connection and its reply.
type exchange struct {
	sender     *Sender
	connection *connection
	to         Destination
	request    *PreparedRequest
	deadline   time.Time
	// hold accounts for the memory of the reply as long as it is read, and ctx ends the wait for it.
	hold *reserver.Hold
	ctx  context.Context
	// isAborted is set once the context has ended.
	isAborted atomic.Bool
}

// run writes the request and reads its reply. It reports in keep whether the connection can be
// reused. Its errors wrap ErrNotSent or ErrLost.
func (x *exchange) run(ctx context.Context) (reply Reply, keep bool, err error) {
	if err := ctx.Err(); err != nil {
		return Reply{}, true, eris.Wrapf(ErrNotSent, "%v", err)
	}
	request := reserver.HoldOf(ctx)
	x.hold = request.Fork()
	stop := context.AfterFunc(ctx, x.abort)
	reply, keep, err = x.roundTrip()
	if err == nil {
		request.Merge(x.hold)
	} else {
		x.hold.Close()
	}
	if !stop() || x.isAborted.Load() {
		keep = false
	}
	return reply, keep, err
}

// abort ends the exchange by expiring the deadline of its connection.
func (x *exchange) abort() {
	x.isAborted.Store(true)
	_ = x.connection.socket.SetDeadline(time.Unix(1, 0))
}

// roundTrip writes the request and reads replies until one answers it. It skips at most
// maxForeignReplies replies to other requests. It also reports whether the connection can be
// reused.
func (x *exchange) roundTrip() (Reply, bool, error) {
	if x.to.OnWrite != nil {
		x.to.OnWrite()
	}
	if n, err := x.write(); err != nil {
		if n == 0 {
			// The connection had ended before, so no byte of the request was sent.
			return Reply{}, false, fmt.Errorf("%w: write: %w", ErrNotSent, err)
		}
		return Reply{}, false, fmt.Errorf("%w: write: %w", ErrLost, err)
	}
	for range 1 + maxForeignReplies {
		reply, staysOpen, err := x.read()
		if err != nil {
			return Reply{}, false, fmt.Errorf("%w: read: %w", ErrLost, err)
		}
		if reply.Metadata.Request == x.request.ID {
			// Buffered bytes after the reply belong to no request, so the connection is closed.
			return reply, staysOpen && x.connection.reader.Buffered() == 0, nil
		}
		x.sender.foreignReplies.Inc(1)
		if !staysOpen {
			return Reply{}, false, eris.Wrapf(ErrLost, "reply to request %q", reply.Metadata.Request)
		}
	}
	return Reply{}, false, eris.Wrap(ErrLost, "replies to other requests")
}

// write writes the request and returns the number of bytes written. A large body is not copied.
func (x *exchange) write() (int64, error) {
	head := x.encodeHead()
	if len(x.request.Body) <= copiedBytes {
		n, err := x.connection.socket.Write(append(head, x.request.Body...))
		return int64(n), err
	}
	return (&net.Buffers{head, x.request.Body}).WriteTo(x.connection.socket)
}

// encodeHead returns the head of the request with the headers of this attempt. It has room for a small body.
func (x *exchange) encodeHead() []byte {
	r := x.request
	remaining := time.Duration(0)
	if !x.deadline.IsZero() {
		remaining = max(time.Millisecond, x.deadline.Sub(x.sender.clock.Now()))
	}
	b := make([]byte, 0, len(r.Head)+min(len(r.Body), copiedBytes)+attemptHeaderBytes)
	b = append(b, r.Head...)
	b = x.sender.protocol.AppendAttemptHeaders(b, Attempt{Remaining: remaining, Server: x.to.ID})
	return append(b, "\r\n"...)
}

// read reads one reply and skips at most maxInformationalReplies informational ones (1xx). A reply with an
// invalid status line is an error. It reports whether the connection stays open after the reply.
func (x *exchange) read() (reply Reply, staysOpen bool, err error) {
	before := x.connection.limiter.read
	x.connection.limiter.beginHead(x.reserveHead)
	for range 1 + maxInformationalReplies {
		response, err := http.ReadResponse(x.connection.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return Reply{}, false, err
		}
		if err := statuschecker.CheckHTTP1(response); err != nil {
			return Reply{}, false, err
		}
		if response.StatusCode >= http.StatusOK {
			x.connection.limiter.beginBody()
			reply, staysOpen, err = x.readBody(response)
			reply.WireBytes = x.connection.limiter.read - before
			return reply, staysOpen, err
		}
	}
	return Reply{}, false, eris.New("too many informational replies")
}

// reserveHead reserves the memory of a large head.
func (x *exchange) reserveHead() error {
	return x.hold.Reserve(x.ctx, headMemory, reserver.Answer)
}

// readBody reads the complete body of a reply. It reports whether the connection stays open
// after the reply.
func (x *exchange) readBody(response *http.Response) (Reply, bool, error) {
	length := response.ContentLength
	if x.request.Method == http.MethodHead {
		// The header tells the length of a body that does not come.
		length = 0
	}
	body, err := x.hold.ReadAll(x.ctx, response.Body, length, maxReplyBytes, reserver.Answer)
	if errors.Is(err, reserver.ErrUnneeded) {
		err = discard(response.Body)
	}
	if errors.Is(err, reserver.ErrTooLarge) {
		return Reply{}, false, eris.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	if err != nil {
		return Reply{}, false, err
	}
	reply := Reply{
		Status:   response.StatusCode,
		Header:   response.Header,
		Body:     body,
		Metadata: x.sender.protocol.ParseMetadata(response.StatusCode, response.Header),
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	x.connection.usableUntil = x.sender.clock.Now().Add(idleTimeout(response.Header) - idleMargin)
	return reply, isFramed && !response.Close, nil
}

// discard reads the rest of a body that is not needed, so that the connection can be reused.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxReplyBytes+1))
	if err == nil && n > maxReplyBytes {
		return reserver.ErrTooLarge
	}
	return err
}

// idleTimeout returns how long a server keeps an idle connection open. It is read from the
// Keep-Alive header, and is defaultIdleTimeout if the header contains no timeout.
func idleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}
