package sender

//go:generate ../../bin/enumer -type LimitState -trimprefix Limit -transform snake -output limitstate_enumer.go

// LimitState tells whether a reply names a limit of the requests that its server takes.
type LimitState uint8

// States of limits.
const (
	// LimitAbsent means that the reply names no limit, so that none is in force any more.
	LimitAbsent LimitState = iota
	// LimitNamed means that the reply names a limit.
	LimitNamed
	// LimitUnreadable means that the reply says nothing usable about a limit.
	LimitUnreadable
)
