package sender

import (
	"net/http"
)

//go:generate ../../bin/enumer -type ReplyKind -trimprefix Reply -transform snake -output replykind_enumer.go

// ReplyKind tells what a server's reply is to the request that it answers.
type ReplyKind uint8

// Kinds of replies.
const (
	// ReplyInvalid is none of the others. The server may have run the request, and nothing of the reply may be
	// passed on or believed.
	ReplyInvalid ReplyKind = iota
	// ReplySuccess is a success with the server's signature and its whole body.
	ReplySuccess
	// ReplyFailure is a failure of the server itself. The server may have run the request.
	ReplyFailure
	// ReplyNotRun states that the server has not run the request and will not run it.
	ReplyNotRun
)

// maxStampBytes is the longest signature that is accepted, so that the signatures of hundreds of shards fit into
// the head of one answer.
const maxStampBytes = 256

// Kind returns what the reply is. The sender has checked its framing, and that it answers the request.
func (r *Reply) Kind() ReplyKind {
	kind, _ := r.inspect()
	return kind
}

// Flaw returns why the reply is invalid, or an empty text if it is valid.
func (r *Reply) Flaw() string {
	_, flaw := r.inspect()
	return flaw
}

// inspect returns what the reply is and, if it is invalid, why.
func (r *Reply) inspect() (kind ReplyKind, flaw string) {
	m := &r.Metadata
	isSuccess := r.Status >= 200 && r.Status < 300
	switch {
	case r.Status < 200 || r.Status > 599:
		return ReplyInvalid, "the status is not final"
	case m.NotRun && (isSuccess || countsAsRun(r.Status)):
		return ReplyInvalid, "the status contradicts that the request has not run"
	case m.NotRun:
		return ReplyNotRun, ""
	case m.Stamp != "" && !IsStamp(m.Stamp):
		return ReplyInvalid, "malformed signature"
	case len(r.Header["Content-Encoding"]) > 0:
		return ReplyInvalid, "the body is encoded"
	case isSuccess && m.Stamp == "":
		return ReplyInvalid, "success without a signature"
	case isSuccess && !r.isWhole():
		return ReplyInvalid, "the body is not whole"
	case isSuccess:
		return ReplySuccess, ""
	case promisesNotRun(r.Status):
		return ReplyInvalid, "the status promises what the server does not state"
	default:
		return ReplyFailure, ""
	}
}

// isWhole reports whether a success can have a whole body by its status.
func (r *Reply) isWhole() bool {
	switch r.Status {
	case http.StatusResetContent:
		return len(r.Body) == 0
	case http.StatusPartialContent:
		return len(r.Header["Content-Range"]) > 0
	default:
		return true
	}
}

// countsAsRun reports whether a status means that the server ran the request: its own error, and the end of the
// time while it ran.
func countsAsRun(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusGatewayTimeout
}

// promisesNotRun reports whether a status promises a caller that its request has not run. A server that means it
// also states it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// IsStamp reports whether a text may be a server's signature: visible ASCII characters that leave a list of
// signatures, separated by commas, readable.
func IsStamp(text string) bool {
	if text == "" || len(text) > maxStampBytes {
		return false
	}
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
