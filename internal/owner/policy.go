package owner

import "time"

// Policy holds the parameters of the dispatch decisions.
type Policy struct {
	// HedgeQuantile is the quantile of an operation's latency after which a subrequest is
	// hedged. HedgeFloor is the minimum hedge delay.
	HedgeQuantile float64
	HedgeFloor    time.Duration
	// HedgeBudget is the largest ratio of hedges to first subrequests. HedgeBurst is the number
	// of hedges that the budget can accumulate.
	HedgeBudget float64
	HedgeBurst  float64
	// RetryBudget and RetryBurst limit the retries in the same way.
	RetryBudget float64
	RetryBurst  float64

	// PressureStart and PressureFull are shares of a request's timeout. As the expected wait in
	// a queue grows from one to the other, the share of new requests that are refused grows
	// from 0 to 1. All shards refuse the same requests.
	PressureStart float64
	PressureFull  float64
	// ReservedSlots is the number of a shard's slots, over all its replicas, that routine work
	// leaves free under pressure if urgent work arrived within ReserveWindow. The probability
	// is proportional to the pressure and reaches 1 at the pressure ReserveFull. If routine
	// subrequests take more than ReserveRatio times as long as urgent ones, the slots are
	// always left free, and under pressure also one slot of each server.
	ReservedSlots int
	ReserveWindow time.Duration
	ReserveRatio  float64
	ReserveFull   float64
	// OverdueWait is the wait after which routine work may go ahead of urgent work.
	// OverdueShare is the share of dispatches that it gets in this way.
	OverdueWait  time.Duration
	OverdueShare float64
	// UrgentQueueLimit and RoutineQueueLimit limit the queue lengths of one shard.
	UrgentQueueLimit  int
	RoutineQueueLimit int

	// SlowStartReplies is the number of replies after which a new server gets all its slots.
	SlowStartReplies int
	// ConsecutiveFailureLimit is the number of consecutive failures after which a server is
	// ejected.
	ConsecutiveFailureLimit int
	// EjectionBase is the length of the first ejection. The length doubles up to EjectionLimit
	// until the server replies again.
	EjectionBase  time.Duration
	EjectionLimit time.Duration
	// ShedPause is how long a server that shed work gets no new work, unless its Retry-After is
	// longer.
	ShedPause time.Duration
	// DrainOverrideTime is how long a server's own report that it drains or that a holding is
	// gone overrides the view.
	DrainOverrideTime time.Duration
	// RemeasureInterval is the time without any subrequest after which a server's measured
	// slowness no longer counts against it.
	RemeasureInterval time.Duration

	// HandoverLimit is the longest time for which a new owner uses half of its slots while the
	// former owner has not acknowledged. HandoverInterval is the time between two handover
	// requests.
	HandoverLimit    time.Duration
	HandoverInterval time.Duration

	// SuspectTime is how long a fingerprint that crashed one server only runs isolated.
	SuspectTime time.Duration
	// QuarantineTime is how long a fingerprint that crashed two servers is refused.
	QuarantineTime time.Duration
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	return Policy{
		HedgeQuantile: 0.95,
		HedgeFloor:    2 * time.Millisecond,
		HedgeBudget:   0.05,
		HedgeBurst:    10,
		RetryBudget:   0.02,
		RetryBurst:    10,

		PressureStart:     0.15,
		PressureFull:      0.70,
		ReservedSlots:     1,
		ReserveWindow:     time.Second,
		ReserveRatio:      2,
		ReserveFull:       0.25,
		OverdueWait:       250 * time.Millisecond,
		OverdueShare:      0.125,
		UrgentQueueLimit:  1024,
		RoutineQueueLimit: 1024,

		SlowStartReplies:        4,
		ConsecutiveFailureLimit: 3,
		EjectionBase:            200 * time.Millisecond,
		EjectionLimit:           5 * time.Second,
		ShedPause:               20 * time.Millisecond,
		DrainOverrideTime:       10 * time.Second,
		RemeasureInterval:       time.Second,

		HandoverLimit:    time.Second,
		HandoverInterval: 20 * time.Millisecond,

		SuspectTime:    10 * time.Second,
		QuarantineTime: time.Minute,
	}
}
