package forwarder

//go:generate ../../bin/enumer -type ownerFailure -trimprefix ownerFailure -transform snake -output ownerfailure_enumer.go

// trouble says what was wrong with an owner.
type ownerFailure uint8

// Troubles.
const (
	// troubleNone means that the owner replied.
	ownerFailureNone ownerFailure = iota
	// troubleRefused means that the owner could not be reached, or takes no requests.
	ownerFailureRefused
	// troubleLost means that the link broke while the owner had the request.
	ownerFailureLost
	// troubleSilent means that the owner said nothing in time.
	ownerFailureSilent
)
