package sender

import (
	"io"

	"github.com/rotisserie/eris"
)

// errReplyTooLarge reports a reply whose bytes do not end within the limits.
var errReplyTooLarge = eris.New("the reply is too large")

// replyLimiter limits the bytes that are read from a connection for one reply. The parsers of heads and
// of chunked bodies have no limits of their own.
type replyLimiter struct {
	source io.Reader
	left   int64
	// read counts the bytes that were read from the connection.
	read int64
	// reserveHead is called before more than smallHeadBytes of a head are read. It is nil afterwards.
	reserveHead func() error
}

// Read reads from the connection. It fails once the reply is too large.
func (l *replyLimiter) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReplyTooLarge
	}
	if l.reserveHead != nil && l.left <= maxHeadBytes-smallHeadBytes {
		if err := l.reserveHead(); err != nil {
			return 0, err
		}
		l.reserveHead = nil
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	l.read += int64(n)
	return n, err
}

// beginHead limits the status line and the headers. The function reserves memory for a large head.
func (l *replyLimiter) beginHead(reserve func() error) { l.left, l.reserveHead = maxHeadBytes, reserve }

// beginBody limits the body as it is encoded.
func (l *replyLimiter) beginBody() { l.left, l.reserveHead = maxEncodedBytes, nil }
