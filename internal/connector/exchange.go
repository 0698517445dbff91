package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/statuschecker"
)

// Headers of the protocol with backend servers.
const (
	headerRequest        = "Banyandock-Request"
	headerAttempt        = "Banyandock-Attempt"
	headerTimeout        = "Banyandock-Timeout-Ms"
	headerUrgency        = "Banyandock-Urgency"
	headerIdempotencyKey = "Idempotency-Key"
)

// exchange is one subrequest to one server and its reply.
type exchange struct {
	connector  *Connector
	endpoint   *endpoint
	subrequest owner.Subrequest
	// hasWritten is set once the first byte of the request may have been sent.
	hasWritten atomic.Bool
	// abort ends an HTTP/1.1 subrequest by closing its connection.
	abort context.CancelFunc
}

// Run sends one subrequest and returns its result. Its errors are of type *owner.Failure. When
// the context ends, it returns as soon as the server is assumed to have stopped. Over HTTP/2
// that is at once. Over HTTP/1.1 it is when the cancelled subrequest has ended or cancelGrace
// has passed.
func (c *Connector) Run(ctx context.Context, server encoder.Server, subrequest owner.Subrequest) (owner.Result, error) {
	e := c.endpoint(server)
	if e == nil {
		return owner.Result{}, notSentFailure(errClosed)
	}
	body, err := encodeBody(subrequest)
	if err != nil {
		return owner.Result{}, notSentFailure(err)
	}
	conn, err := e.acquire(ctx)
	if err != nil {
		return owner.Result{}, acquireFailure(ctx, err)
	}
	defer e.closeExcess()
	x := &exchange{connector: c, endpoint: e, subrequest: subrequest}
	if server.Protocol == encoder.ProtocolHTTP1 {
		return x.runHTTP1(ctx, conn, body)
	}
	return x.roundTrip(ctx, ctx, conn, body)
}

// runHTTP1 runs the exchange so that a cancel request is sent when the caller's context ends,
// and the connection stays open.
func (x *exchange) runHTTP1(ctx context.Context, conn *http.ClientConn, body []byte) (owner.Result, error) {
	inner, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	x.abort = abort
	stop := context.AfterFunc(ctx, x.cancel)
	defer stop()
	return x.roundTrip(ctx, inner, conn, body)
}

// cancel cancels an HTTP/1.1 subrequest at the server. It closes the subrequest's connection if
// the cancel request fails or the subrequest does not end within cancelGrace.
func (x *exchange) cancel() {
	x.connector.metricSet.cancels.Inc(1)
	timer := time.AfterFunc(cancelGrace, x.abort)
	if err := x.sendCancel(); err != nil {
		timer.Stop()
		x.abort()
	}
}

// sendCancel sends a cancel request for the subrequest over another connection.
func (x *exchange) sendCancel() error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	body, err := json.Marshal(cancelBody{Request: x.subrequest.Request.String(), Attempt: x.subrequest.Attempt})
	if err != nil {
		return err
	}
	conn, err := x.endpoint.acquire(ctx)
	if err != nil {
		return err
	}
	defer x.endpoint.closeExcess()
	response, err := conn.RoundTrip(x.newRequest(ctx, "/v1/cancel", body))
	if err != nil {
		return err
	}
	if err := x.checkStatus(conn, response); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes))
	return response.Body.Close()
}

// roundTrip sends the request under the context inner and reads the reply. An error counts as a
// cancellation if the context outer has ended, and otherwise as a broken connection.
func (x *exchange) roundTrip(outer, inner context.Context, conn *http.ClientConn, body []byte) (owner.Result, error) {
	trace := &httptrace.ClientTrace{WroteHeaderField: x.markWritten}
	request := x.newRequest(httptrace.WithClientTrace(inner, trace), "/v1/subrequest", body)
	x.setHeader(request.Header)
	response, err := conn.RoundTrip(request)
	if err != nil {
		return owner.Result{}, x.transportFailure(outer, err)
	}
	if err := x.checkStatus(conn, response); err != nil {
		return owner.Result{}, x.transportFailure(outer, err)
	}
	hold := x.connector.account.Open(netip.AddrPort{}, func() {})
	defer hold.Close()
	reply, err := x.read(outer, response, hold)
	if err != nil {
		return owner.Result{}, x.transportFailure(outer, err)
	}
	return x.interpret(response, reply)
}

// checkStatus returns an error if a reply has no valid status. Over HTTP/1.1 it then closes the connection,
// because the bytes after the status line may be anything. Over HTTP/2 only the reply's stream ends.
func (x *exchange) checkStatus(conn *http.ClientConn, response *http.Response) error {
	check := statuschecker.CheckHTTP1
	isHTTP2 := x.endpoint.server.Protocol == encoder.ProtocolHTTP2
	if isHTTP2 {
		check = statuschecker.Check
	}
	err := check(response)
	if err == nil {
		return nil
	}
	if !isHTTP2 {
		_ = conn.Close()
	}
	_ = response.Body.Close()
	return err
}

// markWritten records that the first byte of the request may have been sent.
func (x *exchange) markWritten(string, []string) { x.hasWritten.Store(true) }

// newRequest builds a POST request to the server.
func (x *exchange) newRequest(ctx context.Context, path string, body []byte) *http.Request {
	address := x.endpoint.server.Address.String()
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: path},
		Host:          address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx)
}

// setHeader sets the headers of a subrequest.
func (x *exchange) setHeader(header http.Header) {
	s := &x.subrequest
	header.Set(headerRequest, s.Request.String())
	header.Set(headerAttempt, strconv.FormatUint(uint64(s.Attempt), 10))
	header.Set(headerTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	header.Set(headerUrgency, s.Urgency.String())
	if s.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, s.IdempotencyKey)
	}
}

// read reads and closes a reply's body, whose memory it reserves before. It returns errTooLarge if the body exceeds the
// limit.
func (x *exchange) read(ctx context.Context, response *http.Response, hold *reserver.Hold) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := hold.ReadAll(ctx, response.Body, response.ContentLength, x.connector.maxReplyBytes, reserver.Answer)
	if errors.Is(err, reserver.ErrTooLarge) {
		return nil, errTooLarge
	}
	return body, err
}
