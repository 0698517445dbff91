// Package announcer announces stand-in backend servers to docks, as described in docs/BACKENDS.md.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

// attemptTimeout is the timeout of one announcement to one dock.
const attemptTimeout = 500 * time.Millisecond

// errRefused is returned if a dock does not accept an announcement.
var errRefused = eris.New("announcement refused")

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Address       netip.AddrPort         `json:"address"`
	Service       identifier.ServiceName `json:"service"`
	FailureDomain identifier.DomainName  `json:"failure_domain"`
	Incarnation   identifier.Incarnation `json:"incarnation"`
	State         encoder.ServerState    `json:"state"`
	Protocol      encoder.ServerProtocol `json:"protocol"`
	Slots         int                    `json:"slots"`
	Connections   int                    `json:"connections"`
	Holdings      []Holding              `json:"holdings"`
}

// Holding is one shard of one index version in an announcement.
type Holding struct {
	Version    identifier.IndexVersion `json:"version"`
	Shard      identifier.ShardNumber  `json:"shard"`
	ShardCount uint32                  `json:"shard_count"`
}

// NewAnnouncement converts a server's description to an announcement.
func NewAnnouncement(s encoder.Server) Announcement {
	a := Announcement{
		Address:       s.Address,
		Service:       s.Service,
		FailureDomain: s.Domain,
		Incarnation:   s.Incarnation,
		State:         s.State,
		Protocol:      s.Protocol,
		Slots:         s.Slots,
		Connections:   s.Connections,
	}
	for _, h := range s.Holdings {
		a.Holdings = append(a.Holdings, Holding(h))
	}
	return a
}

// Announcer announces one server periodically until it is closed.
type Announcer struct {
	describe func() (encoder.Server, bool)
	docks    []netip.AddrPort
	interval time.Duration
	client   *http.Client
	clock    timekeeper.Clock
	log      zerolog.Logger

	changed chan struct{}
	context context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	// nextDock is the number of the dock to try next; only run uses it.
	nextDock int
	// isFailing reports whether the last announcement failed at all docks; only run uses it.
	isFailing bool
}

// Option configures an Announcer under construction.
type Option func(*Announcer)

// WithClock replaces the system clock.
func WithClock(c timekeeper.Clock) Option {
	return func(a *Announcer) { a.clock = c }
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(a *Announcer) { a.log = l }
}

// New returns an announcer that calls describe before each announcement and sends nothing while
// describe returns false. The client may be shared by several announcers. first is the number of
// the dock to try first. Start starts the announcer.
func New(describe func() (encoder.Server, bool), docks []netip.AddrPort, first int, interval time.Duration, client *http.Client, options ...Option) *Announcer {
	a := &Announcer{
		describe: describe,
		docks:    docks,
		interval: interval,
		client:   client,
		clock:    timekeeper.System{},
		log:      zerolog.Nop(),
		changed:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		nextDock: first,
	}
	for _, o := range options {
		o(a)
	}
	a.context, a.cancel = context.WithCancel(context.Background())
	return a
}

// Start starts to announce the server in a goroutine of its own.
func (a *Announcer) Start() {
	go a.run()
}

// Close stops announcing and waits for the announcement in flight.
func (a *Announcer) Close() {
	a.cancel()
	<-a.done
}

// Notify triggers an announcement without waiting for the interval.
func (a *Announcer) Notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *Announcer) run() {
	defer close(a.done)
	t := a.clock.NewTicker(a.interval)
	defer t.Stop()
	for {
		a.announceOnce()
		select {
		case <-t.C:
		case <-a.changed:
		case <-a.context.Done():
			return
		}
	}
}

// announceOnce tries the docks in turn, starting with nextDock, until one accepts the announcement
// or each has been tried once.
func (a *Announcer) announceOnce() {
	s, up := a.describe()
	if !up || len(a.docks) == 0 {
		return
	}
	body, err := json.Marshal(NewAnnouncement(s))
	if err != nil {
		a.log.Error().Err(err).Msg("failed to encode announcement")
		return
	}
	for range a.docks {
		dock := a.docks[a.nextDock%len(a.docks)]
		a.nextDock++
		err = a.post(dock, body)
		if err == nil {
			a.isFailing = false
			return
		}
	}
	if !a.isFailing && a.context.Err() == nil {
		a.log.Debug().Err(err).Stringer("server", s.Address).Msg("no dock accepted the announcement")
	}
	a.isFailing = true
}

func (a *Announcer) post(dock netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(a.context, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dock.String()+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(r)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return eris.Wrapf(errRefused, "%s responded with %s", dock, response.Status)
	}
	return nil
}
