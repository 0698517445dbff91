package encoder

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// QuotaRequest asks a keeper for permits of customers' quotas. One permit allows a dock to send one
// request of the customer to backend servers.
type QuotaRequest struct {
	// Configuration is the number of the configuration that the limits are from.
	Configuration uint64 `msgpack:"c"`
	// Wants lists each customer at most once.
	Wants    []QuotaWant   `msgpack:"w,omitempty"`
	Returned []QuotaReturn `msgpack:"r,omitempty"`
	// IsReserve asks for permits of the keeper's own reserve, whether or not it leads.
	IsReserve bool `msgpack:"v,omitempty"`
}

// QuotaWant asks for permits of one customer.
type QuotaWant struct {
	Customer identifier.CustomerName `msgpack:"n"`
	// Rate is the customer's limit in requests per second, and Burst the number of requests that it may
	// send at once in addition.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b,omitempty"`
	Count int     `msgpack:"c"`
}

// QuotaReturn gives back permits that were not used.
type QuotaReturn struct {
	Customer identifier.CustomerName `msgpack:"n"`
	Count    int                     `msgpack:"c"`
	// Issuer and Issued are those of the reply that carried the permits.
	Issuer identifier.Incarnation `msgpack:"i"`
	Issued time.Duration          `msgpack:"t"`
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// Grants answers the wants in their order.
	Grants []QuotaGrant `msgpack:"g,omitempty"`
	// IsNew is set if the keeper has led for less than a window, so that its permits may have run out
	// although the customer is within its quota.
	IsNew bool `msgpack:"w,omitempty"`
	// Issuer identifies one term of a leader, and Issued is the time since that term's start by the
	// leader's clock.
	Issuer identifier.Incarnation `msgpack:"i,omitempty"`
	Issued time.Duration          `msgpack:"t,omitempty"`
	// Leader is the address of the leader that the keeper knows, if it did not issue the permits as the
	// leader. There are no grants if it was asked as the leader. Term orders leaders.
	Leader netip.AddrPort `msgpack:"l"`
	Term   uint64         `msgpack:"e,omitempty"`
}

// QuotaGrant holds the permits of one customer.
type QuotaGrant struct {
	Granted int `msgpack:"g,omitempty"`
	// Wait is the time until the next permit, if fewer were granted than wanted.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Use is the customer's requests in the last window as a part of its rate, divided by the mean of
	// that over all customers that asked.
	Use float64 `msgpack:"u,omitempty"`
}

// QuotaUse describes a customer's use of its quota to operators.
type QuotaUse struct {
	Customer identifier.CustomerName `msgpack:"n"`
	// Asked and Granted count the permits of the last window.
	Asked   float64 `msgpack:"a,omitempty"`
	Granted float64 `msgpack:"g,omitempty"`
	// Limit is the number of permits that the customer can get in a window with a full burst.
	Limit float64 `msgpack:"l,omitempty"`
	Rate  float64 `msgpack:"r,omitempty"`
	Burst float64 `msgpack:"b,omitempty"`
	// Left is the number of permits that are available now.
	Left float64 `msgpack:"e,omitempty"`
}
