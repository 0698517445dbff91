package measurer

// defaultDescriptions describes the metrics of packages that register them with go-metrics
// directly. A description that is set in a Registry has precedence.
var defaultDescriptions = map[string]Description{
	"owner.subrequests":          {Count, "Subrequests sent to backend servers, hedges and retries included."},
	"owner.hedges":               {Count, "Second subrequests sent to another replica because the first was slow."},
	"owner.hedge_wins":           {Count, "Hedges that answered before the first subrequest."},
	"owner.hedges_denied":        {Count, "Hedges not sent because the budget of extra subrequests was used up."},
	"owner.cancels":              {Count, "Subrequests cancelled because their result was no longer needed."},
	"owner.retries":              {Count, "Subrequests sent again after a failure."},
	"owner.refused":              {Count, "Shard requests refused before anything was sent, because they could not meet their deadline."},
	"owner.late_results":         {Count, "Results that came after their shard had been answered or given up."},
	"owner.shed_by_servers":      {Count, "Subrequests that backend servers refused to start."},
	"owner.crashes":              {Count, "Backend server connections that broke while a subrequest ran."},
	"owner.ejections":            {Count, "Times that a backend server was taken out of use because it failed or was slow."},
	"owner.served_as_second":     {Count, "Batches served for a shard whose first owner was bypassed."},
	"owner.handovers_unanswered": {Count, "Handovers that the former owner did not answer in time."},
	"owner.violations":           {Count, "Broken invariants of the owner. Not 0 means a fault of banyandock itself."},
	"owner.urgent.latency":       {Nanoseconds, "Time from queueing to the result of an urgent shard request."},
	"owner.routine.latency":      {Nanoseconds, "Time from queueing to the result of a routine shard request."},
	"owner.urgent.queue_wait":    {Nanoseconds, "Time that an urgent shard request waits for a slot."},
	"owner.routine.queue_wait":   {Nanoseconds, "Time that a routine shard request waits for a slot."},
	"owner.urgent.batch_latency": {Nanoseconds, "Time that an urgent batch takes at its owner."},
	"owner.routine.batch_latency": {
		Nanoseconds, "Time that a routine batch takes at its owner.",
	},

	"connector.connections_opened": {Count, "Connections opened to backend servers."},
	"connector.connections_failed": {Count, "Connections to backend servers that could not be opened."},
	"connector.connections_lost":   {Count, "Connections to backend servers that broke."},
	"connector.cancels":            {Count, "Cancellations sent to backend servers."},
	"connector.bad_replies":        {Count, "Replies of backend servers that were malformed or answered another subrequest."},

	"replicator.messages.malformed":   {Count, "Messages between keepers that could not be read."},
	"replicator.messages.overflow":    {Count, "Messages between keepers dropped because a queue was full."},
	"replicator.messages.misrouted":   {Count, "Messages between keepers meant for another incarnation."},
	"replicator.invariant.violations": {Count, "Broken invariants of the agreement. Not 0 means a fault of banyandock itself."},
}
