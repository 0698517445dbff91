package encoder

import "time"

//go:generate ../../bin/enumer -type RelayOutcome -trimprefix Relay -transform snake -output relayoutcome_enumer.go

// RelayRequest hands a caller's request over to another dock, because the sender cannot reach backend
// servers. The receiver does not hand it over again. If it returns an error, the request has not run
// and will not run.
type RelayRequest struct {
	// Request is the caller's identifier.
	Request string              `msgpack:"i"`
	Method  string              `msgpack:"m"`
	Target  string              `msgpack:"t"`
	Path    string              `msgpack:"p"`
	Host    string              `msgpack:"o"`
	Header  map[string][]string `msgpack:"h,omitempty"`
	Body    []byte              `msgpack:"b,omitempty"`
	// Remaining is the time until the caller's deadline. Zero means that the caller gave none.
	Remaining time.Duration `msgpack:"d,omitempty"`
	// Configuration is the number of the configuration that the sender admitted the request under. The receiver
	// must have the same or a newer one, and the same one if the request may have run.
	Configuration uint64 `msgpack:"c"`
	// Attempts limits the servers of a service that may run the request, which may have run before. Zero means
	// that it has not, and that the route alone limits them.
	Attempts int `msgpack:"a,omitempty"`
	// HasPermit is set if the sender holds a permit of the customer's quota for the request, so that
	// the receiver needs none. A dock of an older release ignores it, and asks for none either.
	HasPermit bool `msgpack:"q,omitempty"`
	// Customer is the customer that the sender identified by the request's key, which it does not pass
	// on. It is empty if there is none, and from a dock of a release without customers.
	Customer string `msgpack:"u,omitempty"`
}

// RelayOutcome is the kind of a RelayReply.
type RelayOutcome uint8

// Outcomes of relayed requests.
const (
	// RelayRefused means that the request has not run and will not run.
	RelayRefused RelayOutcome = iota
	// RelayFailed means that the request may have run.
	RelayFailed
	// RelayAnswered carries the reply of a single server.
	RelayAnswered
	// RelayGathered carries the merged parts of several servers.
	RelayGathered
	// RelayNoRoute means that the configuration has no route for the request.
	RelayNoRoute
	// RelayUnauthorized means that the configuration does not know the request's customer. A dock of a
	// release without customers takes it for a failure.
	RelayUnauthorized
)

// RelayReply is how the receiver of a RelayRequest handled it.
type RelayReply struct {
	Outcome RelayOutcome `msgpack:"o"`
	// Reason is the reason of a refusal or failure, and After the time after which a refused caller may
	// retry.
	Reason string        `msgpack:"r,omitempty"`
	After  time.Duration `msgpack:"a,omitempty"`
	// Status, Header and Body are the reply of a server. Stamp is its signature.
	Status int                 `msgpack:"u,omitempty"`
	Header map[string][]string `msgpack:"h,omitempty"`
	Body   []byte              `msgpack:"b,omitempty"`
	Stamp  string              `msgpack:"p,omitempty"`
	// Stamps and Missing describe merged parts.
	Stamps  []string `msgpack:"s,omitempty"`
	Missing int      `msgpack:"m,omitempty"`
}

// DetachNotice tells a keeper whether the sending dock has lost its links to all backend servers.
type DetachNotice struct {
	// Version increases with each change at the dock. It is zero before the first one.
	Version    uint64 `msgpack:"v"`
	IsDetached bool   `msgpack:"d,omitempty"`
	// RelaysDigest identifies the list of docks that the sender has.
	RelaysDigest uint64 `msgpack:"r,omitempty"`
}

// DetachReply acknowledges a DetachNotice.
type DetachReply struct {
	IsLeader bool `msgpack:"l,omitempty"`
	// Relays lists, on the leader, docks that can reach backend servers. It is empty if the notice has
	// the same digest.
	Relays       []Dock `msgpack:"d,omitempty"`
	RelaysDigest uint64 `msgpack:"g,omitempty"`
}
