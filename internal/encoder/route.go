package encoder

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// RouteRequest asks a routed dock what it would do now with a request without a body, and why. Nothing is
// sent to servers, and nothing is counted.
type RouteRequest struct {
	Method string `msgpack:"m"`
	Host   string `msgpack:"o"`
	// Path may have a query.
	Path string      `msgpack:"p"`
	Key  matcher.Key `msgpack:"k,omitempty"`
	// Timeout is how long the caller waits, or zero if it gives no timeout.
	Timeout time.Duration `msgpack:"d,omitempty"`
}

// RouteReply tells what a routed dock would do with a request. In JSON, the times are in nanoseconds.
type RouteReply struct {
	Dock identifier.HostName `msgpack:"h" json:"dock"`
	// IsFresh is set if the dock is in contact with a majority of the keepers.
	IsFresh bool `msgpack:"f,omitempty" json:"fresh"`
	// IsDetached is set if the dock has lost its links to all servers, and IsStopping if it stops.
	IsDetached bool `msgpack:"dt,omitempty" json:"detached"`
	IsStopping bool `msgpack:"st,omitempty" json:"stopping"`
	// Configuration is the number of the configuration in force, or zero if there is none. Route is empty
	// if no route matches.
	Configuration uint64 `msgpack:"c,omitempty" json:"configuration"`
	Route         string `msgpack:"r,omitempty" json:"route"`
	// KeyHash is a hash of the key, or empty if none was given. Customer is empty if there is none.
	KeyHash  string                  `msgpack:"k,omitempty" json:"key_hash,omitempty"`
	Customer identifier.CustomerName `msgpack:"u,omitempty" json:"customer,omitempty"`
	Quota    *RouteQuota             `msgpack:"q,omitempty" json:"quota,omitempty"`
	Priority int                     `msgpack:"pr,omitempty" json:"priority"`
	// Quarantine is how much longer requests like this one must not run. IsSuspect is set if they may run
	// on one server at a time only.
	Quarantine time.Duration   `msgpack:"qu,omitempty" json:"quarantine_ns,omitempty"`
	IsSuspect  bool            `msgpack:"su,omitempty" json:"suspect"`
	Admission  *RouteAdmission `msgpack:"ad,omitempty" json:"admission,omitempty"`
	// Refusal is nil if the request would be sent.
	Refusal *RouteRefusal `msgpack:"rf,omitempty" json:"refusal,omitempty"`
	// IsRelayed is set if the request would be handed over to a dock that can reach servers, drawn at random.
	IsRelayed bool `msgpack:"rl,omitempty" json:"relayed"`
	// Services is the number of the services that the request needs. Near counts those of which this dock
	// would choose the best server of its failure domain.
	Services int           `msgpack:"s,omitempty" json:"services"`
	Near     int           `msgpack:"n,omitempty" json:"near"`
	Senders  []RouteSender `msgpack:"se,omitempty" json:"senders,omitempty"`
	// Choices holds the choice for the only service, or for a scattered route some of those that are not
	// the best near server.
	Choices []RouteChoice `msgpack:"ch,omitempty" json:"choices,omitempty"`
	Hedge   *RouteHedge   `msgpack:"he,omitempty" json:"hedge,omitempty"`
}

// RouteQuota is the quota of a request's customer. Each request needs a permit of the keepers, which alone
// know what is left.
type RouteQuota struct {
	Rate  float64 `msgpack:"r" json:"rate_per_second"`
	Burst float64 `msgpack:"b,omitempty" json:"burst"`
	// Use is what the customer asked for lately as a part of its rate, in multiples of the mean of all
	// customers. It is the leading keeper's word of Age ago. Both are zero if the dock has none.
	Use float64       `msgpack:"u,omitempty" json:"use,omitempty"`
	Age time.Duration `msgpack:"a,omitempty" json:"use_age_ns,omitempty"`
}

// RouteAdmission is the admission decision.
type RouteAdmission struct {
	// Share is the share of the route's requests that is admitted, from 0 to 1.
	Share       float64 `msgpack:"s" json:"share"`
	IsCongested bool    `msgpack:"c,omitempty" json:"congested"`
	// IsResubmission is set if the timeout tells that the request was refused before.
	IsResubmission bool `msgpack:"r,omitempty" json:"resubmission"`
}

// RouteRefusal is an answer without a run.
type RouteRefusal struct {
	Reason string `msgpack:"r" json:"reason"`
	// After is the time after which the caller may retry. It is zero if the refusal is final.
	After time.Duration `msgpack:"a,omitempty" json:"retry_after_ns,omitempty"`
}

// RouteSender is a dock that would send the request to the servers of some services.
type RouteSender struct {
	Dock     identifier.HostName `msgpack:"d" json:"dock"`
	Services int                 `msgpack:"s" json:"services"`
}

// RouteChoice is the choice of a server of one service.
type RouteChoice struct {
	Service identifier.ServiceName `msgpack:"s" json:"service"`
	// Server is nil if none can be chosen, for the reason Denied.
	Server *RouteServer  `msgpack:"v,omitempty" json:"server,omitempty"`
	Denied string        `msgpack:"d,omitempty" json:"denied,omitempty"`
	Passed []RouteServer `msgpack:"p,omitempty" json:"passed_over,omitempty"`
}

// RouteServer is a server that would be chosen or passed over.
type RouteServer struct {
	Server ServerID              `msgpack:"v" json:"server"`
	Domain identifier.DomainName `msgpack:"o,omitempty" json:"domain"`
	IsNear bool                  `msgpack:"n,omitempty" json:"near"`
	// Score is the server's score, or zero if it could not be chosen or was not compared. Lower is better.
	Score float64 `msgpack:"c,omitempty" json:"score,omitempty"`
	// Seen is the time since the server was last observed. It is negative if it never was.
	Seen time.Duration `msgpack:"a" json:"seen_ns"`
	// NeedsToken is set if a request to the server needs a token of its limit.
	NeedsToken bool     `msgpack:"t,omitempty" json:"needs_token,omitempty"`
	Causes     []string `msgpack:"u,omitempty" json:"causes,omitempty"`
}

// RouteHedge holds the delays after which a hedge is sent. An early one needs budget to spare.
type RouteHedge struct {
	Early  time.Duration `msgpack:"e" json:"early_ns"`
	Latest time.Duration `msgpack:"l" json:"latest_ns"`
}
