package store

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/routing"
)

// The keys of the store that are read.
const (
	// KeyTable holds the newest routing table in full.
	KeyTable registry.Prefix = "op/config"
	// PrefixEndpoints begins the keys of the endpoints' registrations; the rest of a key is the endpoint's id.
	PrefixEndpoints registry.Prefix = "servers/"
)

// wireEndpoint is an endpoint's registration. A nil field is missing.
type wireEndpoint struct {
	Service *string `json:"service"`
	Address *string `json:"address"`
	Zone    *string `json:"zone"`
	// Version is that of the endpoint's software.
	Version *string  `json:"version"`
	Slots   *float64 `json:"slots"`
	State   *string  `json:"state"`
	// ColdRemaining is for how many milliseconds after the registration the endpoint remains slow.
	ColdRemaining *float64 `json:"cold_remaining_ms"`
	// Sequence counts the endpoint's heartbeats.
	Sequence *float64 `json:"sequence"`
}

// DecodeEndpoint decodes a registration; an error means that it names no endpoint that may be used.
func DecodeEndpoint(now time.Time, i registry.Item) (directory.Registration, error) {
	var w wireEndpoint
	if err := json.Unmarshal(i.Value, &w); err != nil {
		return directory.Registration{}, errors.Wrap(err, "decode the registration")
	}
	if err := w.validate(); err != nil {
		return directory.Registration{}, err
	}
	id := EndpointID(i.Key)
	if !isHeaderToken(string(id)) {
		return directory.Registration{}, errors.Newf("the id %q cannot be sent in a header", id)
	}
	return directory.Registration{
		ID:       id,
		Service:  unit.ServiceName(*w.Service),
		Address:  unit.Address(*w.Address),
		Centre:   unit.CentreName(*w.Zone),
		Slots:    unit.Slots(*w.Slots),
		Revision: i.Revision,
		Leaving:  *w.State == "draining",
		WarmAt:   now.Add(time.Duration(*w.ColdRemaining * float64(time.Millisecond))),
	}, nil
}

// EndpointID gives the id that a registration's key names.
func EndpointID(key registry.Key) unit.EndpointID {
	return unit.EndpointID(strings.TrimPrefix(string(key), string(PrefixEndpoints)))
}

func (w wireEndpoint) validate() error {
	if w.Service == nil || w.Address == nil || w.Zone == nil || w.Version == nil || w.Slots == nil ||
		w.State == nil || w.ColdRemaining == nil || w.Sequence == nil {
		return errors.New("the registration lacks a field")
	}
	if *w.State != "ready" && *w.State != "draining" {
		return errors.Newf("the state %q is not known", *w.State)
	}
	if *w.Service == "" || *w.Slots < 1 || *w.ColdRemaining < 0 {
		return errors.New("the registration has a value out of range")
	}
	_, err := netip.ParseAddrPort(*w.Address)
	return errors.Wrap(err, "the registration's address")
}

// isHeaderToken says whether text may stand in a header field.
func isHeaderToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// wireTable is the routing table.
type wireTable struct {
	Version  *unit.TableVersion `json:"version"`
	Routes   []wireRoute        `json:"routes"`
	Services []wireService      `json:"services"`
	Limits   wireLimits         `json:"limits"`
}

type wireRoute struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Kind is "idempotent" or a kind that must not be repeated.
	Kind          string   `json:"route_kind"`
	Timeout       float64  `json:"timeout_ms"`
	TargetLatency float64  `json:"target_latency_ms"`
	Priority      int      `json:"priority"`
	Service       string   `json:"service"`
	Gather        []string `json:"gather"`
	TrafficSplit  []struct {
		Service string  `json:"service"`
		Weight  float64 `json:"weight"`
	} `json:"traffic_split"`
	MaxAttempts int     `json:"max_attempts"`
	TopK        int     `json:"top_k"`
	MinShare    float64 `json:"min_success_share"`
}

type wireService struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max_connections"`
}

type wireLimits struct {
	MaxHeader     int64   `json:"max_header_bytes"`
	MaxBody       int64   `json:"max_body_bytes"`
	HeaderTimeout float64 `json:"header_timeout_ms"`
	IdleTimeout   float64 `json:"idle_timeout_ms"`
}

// DecodeTable decodes the routing table.
func DecodeTable(value []byte) (*routing.Table, error) {
	var w wireTable
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "decode the routing table")
	}
	if w.Version == nil {
		return nil, errors.New("the routing table has no version")
	}
	routes := make([]*routing.Route, 0, len(w.Routes))
	for _, r := range w.Routes {
		routes = append(routes, r.decode())
	}
	services := make([]routing.Service, 0, len(w.Services))
	for _, s := range w.Services {
		services = append(services, routing.Service{
			Name:        unit.ServiceName(s.Name),
			Connections: unit.Connections(s.MaxConnections),
		})
	}
	limits := routing.Limits{
		Header:        unit.Bytes(w.Limits.MaxHeader),
		Body:          unit.Bytes(w.Limits.MaxBody),
		HeaderTimeout: millis(w.Limits.HeaderTimeout),
		IdleTimeout:   millis(w.Limits.IdleTimeout),
	}
	return routing.NewTable(*w.Version, routes, services, limits), nil
}

func (w wireRoute) decode() *routing.Route {
	r := &routing.Route{
		Name:          unit.RouteName(w.Name),
		Host:          unit.HostName(w.Host),
		Prefix:        w.Prefix,
		Repeatable:    w.Kind == "idempotent",
		Timeout:       millis(w.Timeout),
		TargetLatency: millis(w.TargetLatency),
		Urgency:       unit.Urgency(w.Priority),
		Attempts:      max(w.MaxAttempts, 1),
		TopK:          w.TopK,
		MinShare:      unit.Share(w.MinShare),
	}
	for _, s := range w.Gather {
		r.Shards = append(r.Shards, unit.ServiceName(s))
	}
	for _, p := range w.TrafficSplit {
		r.Split = append(r.Split, routing.WeightedService{Service: unit.ServiceName(p.Service), Weight: unit.Weight(p.Weight)})
	}
	if w.Service != "" {
		r.Split = []routing.WeightedService{{Service: unit.ServiceName(w.Service), Weight: 1}}
	}
	return r
}

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
