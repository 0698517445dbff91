package watcher

import (
	"context"
	"net/netip"
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// RequestPermits asks the leading keeper for permits of customers' quotas. If another keeper leads
// meanwhile, it asks that one. A reply without grants means that the keeper does not lead.
func (w *Watcher) RequestPermits(ctx context.Context, r encoder.QuotaRequest) (encoder.QuotaReply, error) {
	leader := w.currentLeader()
	if !leader.IsValid() {
		return encoder.QuotaReply{}, errNoLeader
	}
	reply, err := w.callQuota(ctx, leader, r)
	if err != nil || len(reply.Grants) > 0 || w.currentLeader() == leader {
		return reply, err
	}
	return w.callQuota(ctx, w.currentLeader(), r)
}

// RequestReserve asks one keeper for permits of its reserve.
func (w *Watcher) RequestReserve(ctx context.Context, keeper netip.AddrPort, r encoder.QuotaRequest) (encoder.QuotaReply, error) {
	return w.callQuota(ctx, keeper, r)
}

// PermitKeepers lists the voters that answered recently, and the leading keeper last.
func (w *Watcher) PermitKeepers() []netip.AddrPort {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	list := []netip.AddrPort{}
	for address, k := range w.keepers {
		if address != w.leader && k.isVoter && now.Sub(k.lastReply) < freshness {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	if w.leader.IsValid() {
		list = append(list, w.leader)
	}
	return list
}

// currentLeader returns the address of the leading keeper as far as it is known.
func (w *Watcher) currentLeader() netip.AddrPort {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leader
}

// callQuota calls a keeper and remembers the leader that it names.
func (w *Watcher) callQuota(ctx context.Context, keeper netip.AddrPort, r encoder.QuotaRequest) (encoder.QuotaReply, error) {
	reply, err := linker.Call[encoder.QuotaRequest, encoder.QuotaReply](ctx, w.pool.Link(keeper), encoder.KindQuota, r)
	if err != nil {
		return reply, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, isKnown := w.keepers[reply.Leader]; isKnown && reply.Term >= w.leaderTerm {
		w.leader, w.leaderTerm = reply.Leader, reply.Term
	}
	return reply, nil
}
