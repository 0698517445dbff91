package responder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// maxHoldings bounds the shards that one backend server announces.
	maxHoldings = 4096
	// maxShardCount bounds the shards of an index version.
	maxShardCount = 1 << 16
	// maxSlots bounds the slots and connections that one backend server announces.
	maxSlots = 1 << 16
)

// errAnnouncement reports an invalid announcement.
var errAnnouncement = eris.New("announcement refused")

// announcementBody is the JSON form of an announcement.
type announcementBody struct {
	Address       string        `json:"address"`
	Service       string        `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	Incarnation   uint64        `json:"incarnation"`
	State         string        `json:"state"`
	Protocol      string        `json:"protocol"`
	Slots         int           `json:"slots"`
	Connections   int           `json:"connections"`
	Holdings      []holdingBody `json:"holdings"`
}

// holdingBody is the JSON form of a holding.
type holdingBody struct {
	Version    uint64 `json:"version"`
	Shard      uint32 `json:"shard"`
	ShardCount uint32 `json:"shard_count"`
}

// handleAnnounce validates a backend server's announcement and passes it on.
func (s *Responder) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	body, p := readBody(w, r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	server, err := parseAnnouncement(body)
	if err != nil {
		writeProblem(w, problem{http.StatusBadRequest, "malformed", err.Error()})
		return
	}
	s.announce(server)
	w.WriteHeader(http.StatusNoContent)
}

// parseAnnouncement decodes an announcement and validates each field. Its errors match
// errAnnouncement.
func parseAnnouncement(text []byte) (encoder.Server, error) {
	var b announcementBody
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return encoder.Server{}, eris.Wrapf(errAnnouncement, "%v", err)
	}
	address, ok := identifier.ParseServerAddress(b.Address)
	if !ok {
		return encoder.Server{}, fieldError("address", "is not an IP number and port that a server can listen at")
	}
	state, err := encoder.ServerStateString(b.State)
	if err != nil {
		return encoder.Server{}, fieldError("state", "is not cold, ready or draining")
	}
	protocol, err := parseProtocol(b.Protocol)
	if err != nil {
		return encoder.Server{}, err
	}
	if b.Service == "" || b.FailureDomain == "" || b.Incarnation == 0 {
		return encoder.Server{}, fieldError("service, failure_domain and incarnation", "must be set")
	}
	if b.Slots < 1 || b.Slots > maxSlots || b.Connections < 1 || b.Connections > maxSlots {
		return encoder.Server{}, fieldError("slots and connections", "must be from 1 to 65536")
	}
	holdings, err := parseHoldings(b.Holdings)
	if err != nil {
		return encoder.Server{}, err
	}
	return encoder.Server{
		Address:     address,
		Service:     identifier.ServiceName(b.Service),
		Domain:      identifier.DomainName(b.FailureDomain),
		Incarnation: identifier.Incarnation(b.Incarnation),
		State:       state,
		Protocol:    protocol,
		Slots:       b.Slots,
		Connections: b.Connections,
		Holdings:    holdings,
	}, nil
}

// parseProtocol parses the name of a protocol.
func parseProtocol(name string) (encoder.ServerProtocol, error) {
	switch name {
	case "http2":
		return encoder.ProtocolHTTP2, nil
	case "http1":
		return encoder.ProtocolHTTP1, nil
	default:
		return 0, fieldError("protocol", "is not http2 or http1")
	}
}

// parseHoldings validates and converts the announced shards.
func parseHoldings(list []holdingBody) ([]encoder.Holding, error) {
	if len(list) > maxHoldings {
		return nil, fieldError("holdings", fmt.Sprintf("has more than %d entries", maxHoldings))
	}
	holdings := make([]encoder.Holding, 0, len(list))
	counts := map[uint64]uint32{}
	for i, h := range list {
		if h.Version == 0 || h.ShardCount == 0 || h.ShardCount > maxShardCount || h.Shard >= h.ShardCount {
			return nil, fieldError(fmt.Sprintf("holdings[%d]", i), "has no version, or a shard outside of shard_count")
		}
		if count, ok := counts[h.Version]; ok && count != h.ShardCount {
			// Subrequests name the version only, so that the server could not tell which shard is meant.
			return nil, fieldError(fmt.Sprintf("holdings[%d]", i), "names another shard_count for the same version")
		}
		counts[h.Version] = h.ShardCount
		holdings = append(holdings, encoder.Holding{
			Version:    identifier.IndexVersion(h.Version),
			Shard:      identifier.ShardNumber(h.Shard),
			ShardCount: h.ShardCount,
		})
	}
	return holdings, nil
}

// fieldError returns an errAnnouncement for an invalid field.
func fieldError(field, fault string) error {
	return eris.Wrapf(errAnnouncement, "%s %s", field, fault)
}
