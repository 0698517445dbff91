package receiver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"banyandock.example/banyandock/internal/reserver"
)

// pieceBytes is the size of the pieces in which responses are written. Each piece must be taken in time.
const pieceBytes = 32 << 10

// errSlow reports that the client sent too slowly.
var errSlow = errors.New("the body was sent too slowly")

// transfer is the body or the response of one request on its way.
type transfer struct {
	// Set at creation.
	receiver   *Receiver
	controller *http.ResponseController
	writer     http.ResponseWriter
	hold       *reserver.Hold
}

// evict ends reading and writing at once.
func (t *transfer) evict() {
	past := time.Unix(1, 0)
	_ = t.controller.SetReadDeadline(past)
	_ = t.controller.SetWriteDeadline(past)
}

// refuse responds that the request has not run.
func (t *transfer) refuse() {
	t.receiver.refused.Inc(1)
	t.writer.Header().Set("Retry-After", retryAfter)
	t.end()
	t.receiver.writeRefusal(t.writer)
}

// end closes the connection after the response. The client may go on sending for lingerTime.
func (t *transfer) end() {
	now := time.Now()
	_ = t.controller.SetReadDeadline(now.Add(lingerTime))
	_ = t.controller.SetWriteDeadline(now.Add(t.receiver.limits.Stall))
	t.writer.Header().Set("Connection", "close")
}

// ReadBody reads the body of a request, of at most limit bytes. If it fails, it returns the status to respond with: 503 if no
// memory is left, 408 if the client is too slow, 413 if the body is too large and 400 if it is incomplete. The request must
// not run then. The status is 0 for a complete body.
func ReadBody(w http.ResponseWriter, request *http.Request, limit int64) ([]byte, int) {
	body, err := readBody(request, limit)
	if err == nil {
		return body, 0
	}
	status := statusOf(err)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	if t := transferOf(request); t != nil {
		t.count(status)
		t.end()
	}
	return nil, status
}

// Reserve reserves bytes for an answer before it is made. If no memory is left, it responds with 503 and returns false. The
// caller may release what the answer does not need.
func Reserve(request *http.Request, n int64) bool {
	t := transferOf(request)
	if t == nil || t.hold.Reserve(request.Context(), n, reserver.Request) == nil {
		return true
	}
	t.refuse()
	return false
}

// readBody reads a body at the least rate, into reserved memory.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	t := transferOf(request)
	if t == nil {
		return (*reserver.Hold)(nil).ReadAll(request.Context(), request.Body, request.ContentLength, limit, reserver.Request)
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	reader := &pacedReader{transfer: t, source: request.Body, pace: t.receiver.limits.newPace(time.Now())}
	body, err := t.hold.ReadAll(request.Context(), reader, request.ContentLength, limit, reserver.Request)
	t.hold.EndTransfer()
	if err == nil {
		// The server reads on to notice that the client leaves.
		_ = t.controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// statusOf returns the HTTP status for an error of readBody.
func statusOf(err error) int {
	switch {
	case errors.Is(err, reserver.ErrFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, reserver.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// count counts a refusal.
func (t *transfer) count(status int) {
	switch status {
	case http.StatusServiceUnavailable:
		t.receiver.refused.Inc(1)
	case http.StatusRequestTimeout:
		t.receiver.slow.Inc(1)
	}
}

// pacedReader reads a body whose client must keep the least rate.
type pacedReader struct {
	transfer *transfer
	source   io.Reader
	pace     pace
	// moved is the number of bytes of the last read.
	moved int
}

// Read reads once, within the time that the pace allows.
func (r *pacedReader) Read(b []byte) (int, error) {
	t := r.transfer
	if !t.hold.Progress(r.moved) {
		return 0, errSlow
	}
	_ = t.controller.SetReadDeadline(r.pace.deadline())
	n, err := r.source.Read(b)
	r.moved = n
	r.pace.advance(time.Now(), n)
	return n, err
}

// pacedWriter writes a response whose client must keep the least rate. It closes the connection of one that does not.
type pacedWriter struct {
	http.ResponseWriter
	transfer *transfer
	// pace is zero until the first bytes are written.
	pace pace
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of a response.
func (w *pacedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// begin starts to measure the pace.
func (w *pacedWriter) begin() {
	if !w.pace.began.IsZero() {
		return
	}
	w.pace = w.transfer.receiver.limits.newPace(time.Now())
	_ = w.transfer.controller.SetWriteDeadline(w.pace.deadline())
}

// Write writes a part of the response in pieces.
func (w *pacedWriter) Write(b []byte) (int, error) {
	w.begin()
	t := w.transfer
	defer t.hold.EndTransfer()
	written, moved := 0, 0
	for {
		if !t.hold.Progress(moved) {
			return written, errSlow
		}
		_ = t.controller.SetWriteDeadline(w.pace.deadline())
		n, err := w.ResponseWriter.Write(b[written:min(written+pieceBytes, len(b))])
		written += n
		moved = n
		w.pace.advance(time.Now(), n)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.receiver.slow.Inc(1)
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
