package sender_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/sender"
)

// TestWaitingRequestIsNotSentToAServerThatLeaves guards against a request that waits for a connection and gets the
// one over which the server has just said that it leaves. The next server at the address can be reached.
func TestWaitingRequestIsNotSentToAServerThatLeaves(t *testing.T) {
	mayAnswer := make(chan struct{})
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
		<-mayAnswer
		reply(c, r.Header.Get("Request"), "body", "Leaving: 1")
	})
	s := newSender(t)
	to := server.destination()
	to.Connections = 1
	results := make(chan error, 2)
	call := func(id string) {
		_, err := send(s, to, id, 2*time.Second)
		results <- err
	}
	go call("a")
	for server.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go call("b")
	time.Sleep(50 * time.Millisecond)
	close(mayAnswer)
	first, second := <-results, <-results
	if first == nil {
		first, second = second, first
	}
	assert.ErrorIs(t, first, sender.ErrNotSent)
	assert.NilError(t, second)
	assert.Equal(t, server.requests.Load(), int32(1))
	call("c")
	assert.NilError(t, <-results)
}
