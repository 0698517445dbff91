package forwarder

//go:generate ../../bin/enumer -type trouble -trimprefix trouble -transform snake -output trouble_enumer.go

// trouble says what was wrong with an owner.
type trouble uint8

// Troubles.
const (
	// troubleNone means that the owner replied.
	troubleNone trouble = iota
	// troubleRefused means that the owner could not be reached, or takes no requests.
	troubleRefused
	// troubleLost means that the link broke while the owner had the request.
	troubleLost
	// troubleSilent means that the owner said nothing in time.
	troubleSilent
)
