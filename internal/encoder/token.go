package encoder

import "time"

// ServerLimit is a statement on the limit that one start of a backend server named: how many requests
// a second it takes from all docks together.
type ServerLimit struct {
	Server ServerID `msgpack:"i"`
	Born   int64    `msgpack:"b"`
	// IsNamed is false if the server answered without a limit after it had named one.
	IsNamed bool `msgpack:"n,omitempty"`
	// Rate is the limit in requests per second.
	Rate float64 `msgpack:"r,omitempty"`
	// Age is the time since the server said so, as of sending.
	Age time.Duration `msgpack:"a,omitempty"`
	// Refused is the number of requests that the sender refused because of the limit since it last
	// reported the server.
	Refused int `msgpack:"f,omitempty"`
	// ColdRate is the rate of requests per second that the server gets for ColdFor, as of sending,
	// because it says that it is cold. It is zero without such a bound.
	ColdRate float64       `msgpack:"c,omitempty"`
	ColdFor  time.Duration `msgpack:"w,omitempty"`
}

// TokenRequest reports limits to the leading keeper and asks it for tokens. A token permits the dock
// to send one request to one server that names a limit.
type TokenRequest struct {
	Limits []ServerLimit `msgpack:",omitempty"`
	Groups []TokenGroup  `msgpack:",omitempty"`
}

// TokenGroup asks for the tokens of one query, one token for each choice. It gets none if fewer than
// Needed are available, because the query would fail nevertheless.
type TokenGroup struct {
	Needed  int           `msgpack:"n"`
	Choices []TokenChoice `msgpack:"c"`
}

// TokenChoice lists the servers of one service for one of which a token is wanted, the preferred ones
// first.
type TokenChoice struct {
	Servers []ServerID `msgpack:"s"`
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	// Grants answers the groups in their order.
	Grants []TokenGrant `msgpack:",omitempty"`
	// Waits lists the servers of which a token was wanted and not available.
	Waits []TokenWait `msgpack:",omitempty"`
	// Limits lists the statements that are newer than those of the request.
	Limits []ServerLimit `msgpack:",omitempty"`
}

// TokenGrant holds the server of each choice for which the dock got a token, or an empty ID if there
// was none. It is empty if the group got no token.
type TokenGrant struct {
	Servers []ServerID `msgpack:"s,omitempty"`
}

// TokenWait tells when a server's next token is available.
type TokenWait struct {
	Server ServerID `msgpack:"i"`
	// Next is the time until the next token.
	Next time.Duration `msgpack:"n"`
	// Backlog is the time in which the server takes as many requests as were refused lately.
	Backlog time.Duration `msgpack:"l,omitempty"`
}
