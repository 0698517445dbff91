// Package owner dispatches subrequests to the backend servers of the shards that this dock
// owns. It queues subrequests by urgency, limits the slots and connections that it uses on each
// server, selects replicas, hedges, retries and cancels.
//
// One mutex guards the state of a service: its shards, servers and queues. A batch concerns one
// service and takes the mutex once for all its shards. A server can hold several shards, so the
// entry that gets its next free slot is selected from the queues of all of them.
package owner

import (
	"context"
	"sync"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/placer"
)

// Preparer is implemented by a Backend that keeps connections to servers.
type Preparer interface {
	// Prepare sets the number of connections that this dock may hold to a server. It must not
	// block.
	Prepare(server encoder.Server, connections int)
}

// Owner dispatches the subrequests of this dock's shards. It is safe for concurrent use.
type Owner struct {
	// Set at creation.
	backend   Backend
	self      identifier.HostName
	settings  settings
	metricSet metricSet
	// ctx is cancelled when the owner is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// goroutines counts the running goroutines of services, handovers and attempts.
	goroutines sync.WaitGroup

	// Guarded by mutex.
	mutex     sync.RWMutex
	isClosed  bool
	view      *encoder.View
	placement *placer.Placement
	services  map[identifier.ServiceName]*service
}

// New returns an Owner without servers. Update adds them.
func New(backend Backend, self identifier.HostName, options ...Option) *Owner {
	o := &Owner{
		backend:  backend,
		self:     self,
		settings: defaultSettings(),
		services: map[identifier.ServiceName]*service{},
	}
	for _, option := range options {
		option(&o.settings)
	}
	o.metricSet = newMetricSet(o.settings.registry)
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Update applies a view and its placement. It ignores a view that is older than the current
// one.
func (o *Owner) Update(view *encoder.View, placement *placer.Placement) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.isClosed || (o.view != nil && view.Epoch < o.view.Epoch) {
		return
	}
	o.view = view
	o.placement = placement
	byService := map[identifier.ServiceName][]encoder.Server{}
	for _, s := range view.Servers {
		byService[s.Service] = append(byService[s.Service], s)
	}
	for name := range byService {
		if o.services[name] == nil {
			o.services[name] = newService(o, name)
		}
	}
	for name, s := range o.services {
		takenOver := s.update(byService[name], placement)
		o.startHandovers(s, view, takenOver)
	}
}

// service returns the state of a service, or nil if no view contained a server of it or the
// owner is closed.
func (o *Owner) service(name identifier.ServiceName) *service {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	if o.isClosed {
		return nil
	}
	return o.services[name]
}

// Handle runs the shards of a batch on their servers. It returns when every shard is covered or
// missing, when the batch's timeout has passed or when the context ends, whichever comes first.
func (o *Owner) Handle(ctx context.Context, request encoder.ShardBatch) encoder.BatchReply {
	s := o.service(request.Service)
	if s == nil {
		return refuseAll(request, encoder.MissingNoReplica)
	}
	started := o.settings.clock.Now()
	b := newBatch(s, request)
	b.wait(ctx)
	o.metricSet.batchLatency(request.Urgency).Update(int64(o.settings.clock.Now().Sub(started)))
	reply := b.reply()
	s.setOwners(&reply)
	return reply
}

// Handover makes this dock stop dispatching the shards that it no longer owns under the
// request's epoch. The reply contains the number of subrequests of each shard that still run.
func (o *Owner) Handover(_ context.Context, request encoder.HandoverRequest) encoder.HandoverReply {
	reply := encoder.HandoverReply{Epoch: request.Epoch, InFlight: make([]int, len(request.Shards))}
	for i, shard := range request.Shards {
		if s := o.service(shard.Service); s != nil {
			reply.InFlight[i] = s.release(shard.Number, request.Epoch, request.Owner)
		}
	}
	return reply
}

// Close closes all batches, cancels the running subrequests and waits until they have ended.
func (o *Owner) Close() error {
	o.mutex.Lock()
	o.isClosed = true
	o.cancel()
	services := o.services
	o.mutex.Unlock()
	for _, s := range services {
		s.close()
	}
	o.goroutines.Wait()
	return nil
}
