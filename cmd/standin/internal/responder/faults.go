package responder

import "time"

//go:generate ../../../../bin/enumer -type HintMode -trimprefix Hint -transform snake -text -output hintmode_enumer.go
//go:generate ../../../../bin/enumer -type ReplyFault -trimprefix Reply -transform snake -text -output replyfault_enumer.go

// HintMode determines how accurate a server's health and load reports are.
type HintMode uint8

// Hint modes.
const (
	// HintTruthful reports show the current state.
	HintTruthful HintMode = iota
	// HintLagging reports may show a past state, which is at most as old as the service's hint lag.
	HintLagging
	// HintLying reports always show a ready and idle server.
	HintLying
)

// ReplyFault is a kind of fault in a server's replies.
type ReplyFault uint8

// Reply faults.
const (
	// ReplyIntact replies have no fault.
	ReplyIntact ReplyFault = iota
	// ReplyLate replies are sent ReplyDelayMs after the work has ended.
	ReplyLate
	// ReplyCrossed replies contain the reply to another subrequest.
	ReplyCrossed
	// ReplyTruncated replies break off in the middle.
	ReplyTruncated
	// ReplyDuplicated replies contain the result twice.
	ReplyDuplicated
	// ReplyError replies have status 500.
	ReplyError
)

// Faults are the fault switches of one server. The zero value is a healthy server.
type Faults struct {
	// Slowdown multiplies service times. Zero means one.
	Slowdown float64 `json:"slowdown"`
	// Down servers have closed their port and dropped their work.
	Down  bool     `json:"down"`
	Hints HintMode `json:"hints"`
	// Reply applies to ReplyShare of the replies.
	Reply      ReplyFault `json:"reply"`
	ReplyShare float64    `json:"reply_share"`
	// ReplyDelayMs is the delay of a late reply in milliseconds.
	ReplyDelayMs int64 `json:"reply_delay_ms"`
}

// replyDelay returns the delay of a late reply.
func (f Faults) replyDelay() time.Duration {
	return time.Duration(f.ReplyDelayMs) * time.Millisecond
}

// slowdown returns the multiplier of service times.
func (f Faults) slowdown() float64 {
	if f.Slowdown == 0 {
		return 1
	}
	return f.Slowdown
}
