package linker

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

// receiver handles the frames that a connection receives.
type receiver interface {
	receive(c *connection, f frame)
}

// connection is one TCP connection after its handshake. It has one goroutine that reads and
// one that writes.
type connection struct {
	// Set at creation.
	clock        timekeeper.Clock
	socket       net.Conn
	reader       *bufio.Reader
	peer         Peer
	sending      chan frame
	receiver     receiver
	logicalClock LogicalClock
	// account accounts for the memory of large frames. If it is nil, nothing does.
	account *reserver.Account
	closed  chan struct{}
	tasks   sync.WaitGroup

	closeOnce sync.Once
}

// openConnection performs the handshake and starts the connection's goroutines. Each side
// sends its hello before it reads the peer's.
func openConnection(socket net.Conn, self Self, account *reserver.Account, clock timekeeper.Clock, r receiver) (*connection, error) {
	if err := socket.SetDeadline(clock.Now().Add(dialTimeout)); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	writer := bufio.NewWriterSize(socket, bufferBytes)
	payload, err := encoder.Encode(self.hello())
	if err != nil {
		return nil, err
	}
	if err := writeFrame(writer, frame{typ: frameHello, payload: payload}); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, eris.Wrap(err, "send hello")
	}
	reader := bufio.NewReaderSize(socket, bufferBytes)
	f, err := readFrame(reader, account)
	if err != nil {
		return nil, err
	}
	peer, err := acceptHello(f)
	if err != nil {
		return nil, err
	}
	if err := socket.SetDeadline(time.Time{}); err != nil {
		return nil, eris.Wrap(err, "clear handshake deadline")
	}
	c := &connection{
		clock:        clock,
		socket:       socket,
		reader:       reader,
		peer:         peer,
		sending:      make(chan frame, sendQueueFrames),
		receiver:     r,
		logicalClock: self.LogicalClock,
		account:      account,
		closed:       make(chan struct{}),
	}
	c.tasks.Add(2)
	go (&connectionReader{c}).run()
	go (&connectionWriter{c: c, writer: writer}).run()
	return c, nil
}

// send queues a frame for the writer. After an error, which wraps ErrNotSent, the frame is never sent.
func (c *connection) send(f frame) error {
	if isClosed(c.closed) {
		return eris.Wrap(ErrNotSent, "the connection is closed")
	}
	if !f.reserveMemory(c.account, int64(f.size())) {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrFull)
	}
	if !c.queue(f) {
		return eris.Wrap(ErrNotSent, "the queue is full")
	}
	return nil
}

// isClosed reports whether a channel on which nothing is sent has been closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// sendAnswer queues a reply. It waits until its memory has room or the context ends, because the request has run. It
// returns false if the connection is closed or its queue is full.
func (c *connection) sendAnswer(ctx context.Context, f frame) bool {
	if c.account != nil && f.size() >= smallFrameBytes {
		f.hold = c.account.Open(netip.AddrPort{}, func() {})
		if f.hold.Reserve(ctx, int64(f.size()), f.use()) != nil {
			f.hold.Close()
			// Nobody waits for the reply any more.
			return true
		}
	}
	return c.queue(f)
}

// queue adds a frame to the queue. It returns false if the queue is full.
func (c *connection) queue(f frame) bool {
	select {
	case c.sending <- f:
	default:
		f.hold.Close()
		return false
	}
	if isClosed(c.closed) {
		c.releaseQueue()
	}
	return true
}

// releaseQueue drops the frames that a closed connection has not sent.
func (c *connection) releaseQueue() {
	for {
		select {
		case f := <-c.sending:
			f.hold.Close()
		default:
			return
		}
	}
}

// closeSocket closes the socket, which ends both goroutines. It does not wait for them.
func (c *connection) closeSocket() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
		c.releaseQueue()
	})
}

// Close closes the connection and waits for its goroutines.
func (c *connection) Close() {
	c.closeSocket()
	c.tasks.Wait()
}

// connectionReader reads frames and passes them to the receiver.
type connectionReader struct {
	c *connection
}

func (r *connectionReader) run() {
	defer r.c.tasks.Done()
	defer r.c.closeSocket()
	for {
		// The deadline detects a peer that is cut off without a reset, because it delivers no
		// heartbeats either.
		if err := r.c.socket.SetReadDeadline(r.c.clock.Now().Add(peerTimeout)); err != nil {
			return
		}
		f, err := readFrame(r.c.reader, r.c.account)
		if err != nil {
			return
		}
		switch f.typ {
		case frameHeartbeat:
			r.c.observe(f)
		case frameProbe:
			// A peer that gets no echo probes again.
			_ = r.c.send(frame{typ: frameEcho, id: f.id})
		default:
			r.c.receiver.receive(r.c, f)
		}
	}
}

// connectionWriter writes queued frames and heartbeats. It flushes when the queue is empty,
// so that the frames of a burst share system calls.
type connectionWriter struct {
	c      *connection
	writer *bufio.Writer
	// burst holds the frames to write next. It holds at most sendQueueFrames frames.
	burst []frame
	// hasWritten is true if frames were written since the last tick. The peer then needs no
	// heartbeat, because any frame shows that this side is alive.
	hasWritten bool
}

func (w *connectionWriter) run() {
	defer w.c.tasks.Done()
	defer w.c.closeSocket()
	ticker := w.c.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.c.closed:
			return
		case <-ticker.C:
			if w.hasWritten {
				w.hasWritten = false
				continue
			}
			if !w.write(nil) {
				return
			}
		case f := <-w.c.sending:
			w.hasWritten = true
			if !w.write(w.collect(f)) {
				return
			}
		}
	}
}

// collect returns the frame together with all other queued frames, up to sendQueueFrames.
func (w *connectionWriter) collect(f frame) []frame {
	w.burst = append(w.burst[:0], f)
	for len(w.burst) < sendQueueFrames {
		select {
		case next := <-w.c.sending:
			w.burst = append(w.burst, next)
		default:
			return w.burst
		}
	}
	return w.burst
}

// write writes a heartbeat followed by the frames, then flushes. The heartbeat's stamp is
// taken after the frames were queued and arrives before them. Events that a frame causes at
// the peer therefore have later stamps than the events that caused the frame here.
func (w *connectionWriter) write(burst []frame) bool {
	if w.c.socket.SetWriteDeadline(w.c.clock.Now().Add(peerTimeout)) != nil {
		return false
	}
	if len(burst) == 0 || w.c.logicalClock != nil {
		if writeFrame(w.writer, w.c.heartbeat()) != nil {
			return false
		}
	}
	defer clear(burst)
	var err error
	for _, f := range burst {
		if err == nil {
			err = writeFrame(w.writer, f)
		}
		f.hold.Close()
	}
	return err == nil && w.writer.Flush() == nil
}

// heartbeat returns a heartbeat that carries a stamp of the logical clock. A peer whose release
// does not support stamps ignores the payload.
func (c *connection) heartbeat() frame {
	if c.logicalClock == nil {
		return frame{typ: frameHeartbeat}
	}
	return frame{typ: frameHeartbeat, payload: binary.BigEndian.AppendUint64(nil, c.logicalClock.Stamp())}
}

// observe passes the stamp of a received heartbeat to the logical clock.
func (c *connection) observe(heartbeat frame) {
	if c.logicalClock != nil && len(heartbeat.payload) == stampBytes {
		c.logicalClock.ObserveStamp(binary.BigEndian.Uint64(heartbeat.payload))
	}
}
