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
		switch {
		case err != nil:
			return Reply{}, false, fmt.Errorf("%w: read: %w", ErrLost, err)
		case reply.Metadata.Request == x.request.ID:
			// Buffered bytes after the reply belong to no request, so the connection is closed.
			return reply, staysOpen && x.connection.reader.Buffered() == 0, nil
		case reply.Metadata.Request == "":
			// A late reply to another request has an identifier, so that no other reply follows this one.
			return Reply{}, false, fmt.Errorf("%w: %w: no identifier", ErrLost, ErrInvalid)
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
			return Reply{}, false, x.describe(err)
		}
		if err := checkHead(response); err != nil {
			return Reply{}, false, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if response.StatusCode >= http.StatusOK {
			x.connection.limiter.beginBody()
			reply, staysOpen, err = x.readBody(response)
			reply.WireBytes = x.connection.limiter.read - before
			return reply, staysOpen, err
		}
	}
	return Reply{}, false, eris.Wrap(ErrInvalid, "too many informational replies")
}

// describe wraps ErrInvalid if a reply could not be read because of its bytes, and not because the connection, the
// wait or this host's memory ended.
func (x *exchange) describe(err error) error {
	var network net.Error
	isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
	isOwn := errors.Is(err, reserver.ErrFull) || errors.Is(err, reserver.ErrUnneeded)
	if isEnd || isOwn || x.ctx.Err() != nil || x.isAborted.Load() {
		return err
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

// checkHead returns an error if a reply's head is not valid: its status line, its headers, or how it frames its
// body. The parser accepts more than may be passed on.
func checkHead(response *http.Response) error {
	if err := statuschecker.CheckHTTP1(response); err != nil {
		return err
	}
	for name, values := range response.Header {
		if strings.ContainsFunc(name, isNoText) || strings.Contains(name, " ") {
			return eris.Errorf("header %q", name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isNoText) {
				return eris.Errorf("value of the header %q", name)
			}
		}
	}
	length := response.Header.Get("Content-Length")
	isEmpty := len(response.TransferEncoding) == 0 && (length == "" || length == "0")
	if response.StatusCode == http.StatusNoContent && !isEmpty {
		return eris.New("a body that the status excludes")
	}
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
	if isUnframed && len(response.Header["Keep-Alive"]) > 0 {
		return eris.New("a body that ends with a connection that is kept")
	}
	return nil
}

// isNoText reports whether a character is a control character, which no header contains.
func isNoText(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

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
		return Reply{}, false, eris.Wrapf(ErrInvalid, "reply exceeds %d bytes", maxReplyBytes)
	}
	if err != nil {
		return Reply{}, false, x.describe(err)
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
