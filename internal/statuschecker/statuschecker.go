// Package statuschecker checks the status lines of servers' replies. The parser of net/http accepts any
// version of HTTP and any status from 000 to 999, and skips those below 100 like informational replies, so
// that the bytes of their bodies would be parsed as the next reply.
package statuschecker

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrInvalid reports a reply whose status line is not valid or not due.
var ErrInvalid = eris.New("invalid status line")

// Check returns an error unless the reply has a status from 100 to 599, other than 101: no request asks
// for another protocol.
func Check(response *http.Response) error {
	isValid := response.StatusCode >= http.StatusContinue && response.StatusCode <= 599
	if !isValid || response.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrInvalid, "status %03d", response.StatusCode)
	}
	return nil
}

// CheckHTTP1 is Check for a reply over HTTP/1.x, which also must name that version, and must not declare a
// body if it is informational: the client would parse the body as the next reply.
func CheckHTTP1(response *http.Response) error {
	if response.Proto != "HTTP/1.1" && response.Proto != "HTTP/1.0" {
		return eris.Wrapf(ErrInvalid, "version %q", response.Proto)
	}
	if err := Check(response); err != nil {
		return err
	}
	hasBody := len(response.TransferEncoding) > 0 || response.Header.Get("Content-Length") != ""
	if response.StatusCode < http.StatusOK && hasBody {
		return eris.Wrapf(ErrInvalid, "status %03d with a body", response.StatusCode)
	}
	return nil
}
