package responder

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

const (
	// statusCancelled is the status of a subrequest that its sender cancelled. net/http has no
	// constant for it.
	statusCancelled = 499
	// shedRetryAfter is the Retry-After header, in seconds, of all responses with status 503.
	shedRetryAfter = "1"
)

func writeRefusal(w http.ResponseWriter, r refusal) {
	if r.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", shedRetryAfter)
	}
	writeJSON(w, r.status, r)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBytes(w, status, b)
}

func writeBytes(w http.ResponseWriter, status int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// A write error means that the sender has disconnected, so it is ignored.
	_, _ = w.Write(b)
}

// writeReply sends a result and applies the server's reply fault to the configured share of
// replies.
func (i *incarnation) writeReply(w http.ResponseWriter, answer reply) {
	b, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	previous := i.swapPrevious(b)
	f := i.server.Faults()
	if f.Reply == ReplyIntact || !i.server.sampler.drawBool(f.ReplyShare) {
		writeBytes(w, http.StatusOK, b)
		return
	}
	i.writeFaulty(w, f, b, previous)
}

func (i *incarnation) writeFaulty(w http.ResponseWriter, f Faults, b, previous []byte) {
	switch f.Reply {
	case ReplyIntact:
		writeBytes(w, http.StatusOK, b)
	case ReplyLate:
		_ = wait(i.context, i.server.clock, f.replyDelay())
		writeBytes(w, http.StatusOK, b)
	case ReplyCrossed:
		writeBytes(w, http.StatusOK, previous)
	case ReplyTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	case ReplyDuplicated:
		writeBytes(w, http.StatusOK, bytes.Repeat(b, 2))
	case ReplyError:
		writeJSON(w, http.StatusInternalServerError, refusal{Code: "internal", Started: true})
	}
}

// swapPrevious stores the newest reply and returns the one before it. It returns the newest reply
// itself if there is none before it.
func (i *incarnation) swapPrevious(b []byte) []byte {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	previous := i.previous
	if previous == nil {
		previous = b
	}
	i.previous = b
	return previous
}
