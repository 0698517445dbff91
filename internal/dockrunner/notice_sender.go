package dockrunner

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

const (
	// noticeQueueLength bounds the queued notices.
	noticeQueueLength = 256
	// noticeTimeout bounds each attempt to send a notice, and noticePause is the time between two.
	noticeTimeout = time.Second
	noticePause   = 250 * time.Millisecond
)

// noticeSender reports fingerprints that crash backend servers to the leader of the keepers.
type noticeSender struct {
	pool    *linker.Pool
	leader  func() netip.AddrPort
	notices chan encoder.QuarantineNotice
	ctx     context.Context
	cancel  context.CancelFunc
	stopped chan struct{}
}

func newNoticeSender(pool *linker.Pool, leader func() netip.AddrPort) *noticeSender {
	ctx, cancel := context.WithCancel(context.Background())
	s := &noticeSender{
		pool:    pool,
		leader:  leader,
		notices: make(chan encoder.QuarantineNotice, noticeQueueLength),
		ctx:     ctx,
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	go s.run()
	return s
}

// send queues a notice without blocking. It drops the notice if the queue is full. The fingerprint
// is quarantined at this dock in any case.
func (s *noticeSender) send(n encoder.QuarantineNotice) {
	select {
	case s.notices <- n:
	default:
	}
}

// Close drops the queued notices and waits for the goroutine.
func (s *noticeSender) Close() {
	s.cancel()
	<-s.stopped
}

func (s *noticeSender) run() {
	defer close(s.stopped)
	for {
		select {
		case n := <-s.notices:
			s.deliver(n)
		case <-s.ctx.Done():
			return
		}
	}
}

// deliver sends one notice until the leader accepts it.
func (s *noticeSender) deliver(n encoder.QuarantineNotice) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, noticeTimeout)
		r, err := linker.Call[encoder.QuarantineNotice, encoder.QuarantineReply](ctx, s.pool.Link(s.leader()), encoder.KindQuarantine, n)
		cancel()
		if err == nil && r.Accepted {
			return
		}
		select {
		case <-time.After(noticePause):
		case <-s.ctx.Done():
			return
		}
	}
}
