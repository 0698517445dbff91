package linker

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

// discardReceiver drops all frames.
type discardReceiver struct{}

func (discardReceiver) receive(*connection, frame) {}

// openPipe starts a connection on one end of a pipe, without a handshake.
func openPipe(socket net.Conn, t *Traffic) *connection {
	c := &connection{
		clock:    timekeeper.System{},
		socket:   countingSocket{socket, t},
		reader:   bufio.NewReader(socket),
		sending:  make(chan frame, sendQueueFrames),
		receiver: discardReceiver{},
		closed:   make(chan struct{}),
	}
	c.tasks.Add(2)
	go (&connectionReader{c}).run()
	go (&connectionWriter{c: c, writer: bufio.NewWriter(c.socket)}).run()
	return c
}

// expectWrites sends a frame from one side in each interval for a minute, or none if the
// interval is zero, and checks how often each side writes. Both sides must stay open.
func expectWrites(t *testing.T, interval time.Duration, senderWrites, peerWrites uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		var senderTraffic, peerTraffic Traffic
		sender, peer := openPipe(a, &senderTraffic), openPipe(b, &peerTraffic)
		defer sender.Close()
		defer peer.Close()
		began := time.Now()
		for time.Since(began) < time.Minute {
			if interval > 0 {
				assert.Assert(t, sender.send(frame{typ: frameOneWay, kind: encoder.KindPoll}))
				time.Sleep(interval)
			} else {
				time.Sleep(time.Second)
			}
		}
		synctest.Wait()
		select {
		case <-sender.closed:
			t.Fatal("the sender closed a healthy connection")
		case <-peer.closed:
			t.Fatal("the peer closed a healthy connection")
		default:
		}
		// The last interval ends after the minute.
		for got, want := range map[uint64]uint64{senderTraffic.count().Writes: senderWrites, peerTraffic.count().Writes: peerWrites} {
			assert.Assert(t, got >= want && got <= want+2, "%d writes, want %d", got, want)
		}
	})
}

func TestHeartbeatsAreSentOnlyWhenIdle(t *testing.T) {
	expectWrites(t, 0, 59, 59)
	expectWrites(t, 400*time.Millisecond, 150, 59)
	expectWrites(t, 1666*time.Millisecond, 59, 59)
}
