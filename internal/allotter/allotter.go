// Package allotter divides the connections that each backend server accepts among the docks, so that
// all docks together stay within that number. Each dock decides alone, from the number of docks and of
// their failure domains and its own rank. The package performs no I/O.
//
// If a server accepts a connection from every dock, every dock gets the same number. Otherwise only the
// senders of a service get any: the first docks of each failure domain by a rank that all docks compute
// alike. The others pass their requests on to a sender.
package allotter

const (
	// Senders is the maximum number of senders of a service in each failure domain.
	Senders = 3
	// NoRank is the rank of a dock that is not a sender.
	NoRank = -1

	// usableShare is the part of a server's connections that docks may use. The rest is for health
	// checks, probes and docks of an older release.
	usableShare = 0.85
	// views is the number of assignments that may be in effect at the same time, because some docks
	// have not learned of the latest one.
	views = 2
	// defaultConnections is used if the number that servers accept is not known.
	defaultConnections = 2
	// maxShared and maxSender bound the connections from one dock to one server, however many the
	// server accepts: those of every dock, and those of a sender.
	maxShared = 32
	maxSender = 12
)

// Fleet is what a dock knows of the docks that may send to the same servers.
type Fleet struct {
	// Docks is the number of docks, and Domains that of their failure domains. Numbers below 1 count
	// as 1.
	Docks   int
	Domains int
}

// normalized returns the fleet with numbers of at least 1.
func (f Fleet) normalized() Fleet { return Fleet{Docks: max(1, f.Docks), Domains: max(1, f.Domains)} }

// Shared returns how many connections every dock may hold to a server that accepts a number of
// connections, if its service has no senders. It is 0 if the server does not accept one from every
// dock, so that the service needs senders.
func Shared(accepted int, fleet Fleet) int {
	if accepted <= 0 {
		return defaultConnections
	}
	return share(usable(accepted), fleet.normalized())
}

// OfSender returns how many connections a dock may hold to a server that accepts a number of
// connections, if its service has senders. The rank is that of the dock in its failure domain, from 0
// for the owner, or NoRank.
func OfSender(accepted int, fleet Fleet, rank int) int {
	if accepted <= 0 {
		return defaultConnections
	}
	fleet = fleet.normalized()
	// If every dock can have a connection from one half, the senders divide the other one.
	forAll := share(usable(accepted)/2, fleet)
	forSenders := usable(accepted)
	if forAll > 0 {
		forSenders -= usable(accepted) / 2
	}
	return max(forAll, ofRank(forSenders, fleet.Domains, rank))
}

// usable returns how many of the connections that a server accepts docks may use.
func usable(accepted int) int { return max(1, int(usableShare*float64(accepted))) }

// share divides a number of connections evenly among all docks. It returns 0 if there is not one for each.
func share(connections int, fleet Fleet) int { return min(maxShared, connections/fleet.Docks) }

// ofRank divides a number of connections among the senders of all failure domains.
func ofRank(connections, domains, rank int) int {
	ofDomain := connections / views / domains
	if ofDomain == 0 {
		// With so few, a former owner may still hold the connection that its successor wants.
		ofDomain = min(1, connections/domains)
	}
	second, third := 0, 0
	if ofDomain > 1 {
		second = max(1, ofDomain/4)
	}
	if ofDomain > 2 {
		third = max(1, ofDomain/8)
	}
	switch rank {
	case 0:
		return min(maxSender, ofDomain-second-third)
	case 1:
		return min(maxSender, second)
	case 2:
		return min(maxSender, third)
	default:
		return 0
	}
}
