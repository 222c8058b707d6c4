package store

import (
	"encoding/json"
	"math"
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
	// PrefixOperators is the prefix of the keys that operators write.
	PrefixOperators registry.Prefix = "op/"
	// KeyTable is the key of the current routing table.
	KeyTable registry.Key = "op/config"
	// keyEvacuate is the prefix of the keys of orders to evacuate a data centre. The rest of a key is the data centre's
	// name, and the value means nothing.
	keyEvacuate = "op/evacuate/"
	// PrefixEndpoints is the prefix of the keys of the endpoints' registrations. The rest of a key is the endpoint's ID.
	PrefixEndpoints registry.Prefix = "servers/"
)

const (
	// maxKeyBytes is the length of the longest key of the store.
	maxKeyBytes = 200
	// maxSlots is the largest number of slots of an endpoint.
	maxSlots = 1 << 20
	// maxColdTime is the longest time for which an endpoint may stay slow after its start.
	maxColdTime = 24 * time.Hour
	// maxTime is the longest time of a table.
	maxTime = 24 * time.Hour
	// maxWeight is the largest weight of a service in a traffic split.
	maxWeight = 1e12
	// maxColdRate is the largest rate of requests that a cold endpoint stands, in requests per second.
	maxColdRate = 1e6
	// maxErrorBytes is the length to which the texts of decoding errors are cut.
	maxErrorBytes = 200
)

// wireEndpoint is an endpoint's registration. A field that is missing is nil.
type wireEndpoint struct {
	Service *string `json:"service"`
	Address *string `json:"address"`
	Zone    *string `json:"zone"`
	// Version is the version of the endpoint's software.
	Version *string  `json:"version"`
	Slots   *float64 `json:"slots"`
	State   *string  `json:"state"`
	// ColdRemaining is how many milliseconds after the registration the endpoint stays slow.
	ColdRemaining *float64 `json:"cold_remaining_ms"`
	// Sequence is the number of the endpoint's latest heartbeat.
	Sequence *float64 `json:"sequence"`
	// Born is the time of the endpoint's start in Unix milliseconds. Some platforms do not have it.
	Born *float64 `json:"born"`
}

// DecodeEndpoint decodes a registration. It returns an error if the registration does not describe a usable endpoint.
func DecodeEndpoint(now time.Time, i registry.Item) (directory.Registration, error) {
	var w wireEndpoint
	if err := json.Unmarshal(i.Value, &w); err != nil {
		return directory.Registration{}, shortenedError("decode the registration", err)
	}
	if err := w.validate(); err != nil {
		return directory.Registration{}, err
	}
	id := EndpointID(i.Key)
	if !isHeaderToken(string(id)) || len(i.Key) > maxKeyBytes {
		return directory.Registration{}, errors.Newf("the endpoint ID %.40q cannot be sent in a header field", id)
	}
	return directory.Registration{
		Position: i.Position,
		ID:       id,
		Service:  unit.ServiceName(*w.Service),
		Address:  unit.Address(*w.Address),
		Centre:   unit.CentreName(*w.Zone),
		Slots:    unit.Slots(*w.Slots),
		Born:     w.born(),
		Sequence: unit.Sequence(*w.Sequence),
		Leaving:  *w.State == "draining",
		WarmAt:   now.Add(time.Duration(*w.ColdRemaining * float64(time.Millisecond))),
	}, nil
}

// born returns the time of the endpoint's start, or the zero time if it is missing.
func (w wireEndpoint) born() time.Time {
	if w.Born == nil {
		return time.Time{}
	}
	return time.UnixMilli(int64(*w.Born)).UTC()
}

// maxCount is the largest number up to which all whole numbers can be told apart in JSON.
const maxCount = 1 << 53

// EndpointID returns the endpoint's ID from the key of its registration.
func EndpointID(key registry.Key) unit.EndpointID {
	return unit.EndpointID(strings.TrimPrefix(string(key), string(PrefixEndpoints)))
}

// EvacuatedCentre returns the data centre that an order under the key evacuates; ok is false if the key is that of
// something else.
func EvacuatedCentre(key registry.Key) (centre unit.CentreName, ok bool) {
	name, ok := strings.CutPrefix(string(key), keyEvacuate)
	return unit.CentreName(name), ok && name != ""
}

// EvacuationKey returns the key of the order to evacuate a data centre.
func EvacuationKey(centre unit.CentreName) registry.Key {
	return registry.Key(keyEvacuate + string(centre))
}

// validate returns an error if a required field is missing or has an invalid value.
func (w wireEndpoint) validate() error {
	if w.Service == nil || w.Address == nil || w.Zone == nil || w.Version == nil || w.Slots == nil ||
		w.State == nil || w.ColdRemaining == nil || w.Sequence == nil {
		return errors.New("the registration lacks a required field")
	}
	if *w.State != "ready" && *w.State != "draining" {
		return errors.Newf("unknown state %.40q", *w.State)
	}
	if *w.Service == "" {
		return errors.New("the registration has an empty service")
	}
	if err := w.validateNumbers(); err != nil {
		return err
	}
	return validateAddress(*w.Address)
}

// validateNumbers returns an error if a number is out of range. The conversion of a float64 that an integer type cannot
// hold has a result that depends on the architecture.
func (w wireEndpoint) validateNumbers() error {
	switch {
	case !isCount(*w.Slots) || *w.Slots < 1 || *w.Slots > maxSlots:
		return errors.Newf("slots are %g", *w.Slots)
	case *w.ColdRemaining < 0 || *w.ColdRemaining > float64(maxColdTime.Milliseconds()):
		return errors.Newf("cold_remaining_ms is %g", *w.ColdRemaining)
	case !isCount(*w.Sequence):
		return errors.Newf("sequence is %g", *w.Sequence)
	case w.Born != nil && !isCount(*w.Born):
		return errors.Newf("born is %g", *w.Born)
	}
	return nil
}

// isCount reports whether a number is a whole one from 0 to maxCount.
func isCount(n float64) bool {
	return n >= 0 && n <= maxCount && n == math.Trunc(n)
}

// validateAddress returns an error for an address at which no endpoint can listen. A connection to the unspecified
// address would reach this VM itself.
func validateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return shortenedError("parse the registration's address", err)
	}
	ip := address.Addr().Unmap()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return errors.Newf("no endpoint can listen at the address %s", address)
	}
	return nil
}

// shortenedError returns an error with the action and the beginning of the text of err, which may quote all of a value.
func shortenedError(action string, err error) error {
	return errors.Newf("%s: %.*s", action, maxErrorBytes, err.Error())
}

// isHeaderToken reports whether text can be sent in a header field.
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
	// Kind is "idempotent", or another kind whose requests must not be repeated.
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
	// ColdRate is how many requests a second an endpoint stands while it is cold, 0 without a limit.
	ColdRate float64 `json:"cold_per_s"`
}

type wireLimits struct {
	MaxHeader     int64   `json:"max_header_bytes"`
	MaxBody       int64   `json:"max_body_bytes"`
	HeaderTimeout float64 `json:"header_timeout_ms"`
	IdleTimeout   float64 `json:"idle_timeout_ms"`
}

// DecodeTable decodes the routing table. It returns an error if the JSON is malformed or has no version. Other numbers
// that are out of range are limited to their range, so that the other routes of the table come into force.
func DecodeTable(value []byte) (*routing.Table, error) {
	var w wireTable
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, shortenedError("decode the routing table", err)
	}
	if w.Version == nil {
		return nil, errors.New("the routing table has no version field")
	}
	routes := make([]*routing.Route, 0, len(w.Routes))
	for _, r := range w.Routes {
		routes = append(routes, r.decode())
	}
	services := make([]routing.Service, 0, len(w.Services))
	for _, s := range w.Services {
		services = append(services, s.decode())
	}
	return routing.NewTable(*w.Version, routes, services, w.Limits.decode()), nil
}

// decode returns the route. A single service replaces the traffic split.
func (w wireRoute) decode() *routing.Route {
	r := &routing.Route{
		Name:          unit.RouteName(w.Name),
		Host:          unit.HostName(w.Host),
		Prefix:        w.Prefix,
		Repeatable:    w.Kind == "idempotent",
		Timeout:       millis(w.Timeout),
		TargetLatency: millis(w.TargetLatency),
		Urgency:       unit.Urgency(w.Priority),
		Attempts:      routing.LimitAttempts(w.MaxAttempts),
		TopK:          w.TopK,
		MinShare:      unit.Share(limit(w.MinShare, 1)),
	}
	for _, s := range w.Gather {
		r.Shards = append(r.Shards, unit.ServiceName(s))
	}
	for _, p := range w.TrafficSplit {
		r.Split = append(r.Split, routing.WeightedService{
			Service: unit.ServiceName(p.Service), Weight: unit.Weight(limit(p.Weight, maxWeight)),
		})
	}
	if w.Service != "" {
		r.Split = []routing.WeightedService{{Service: unit.ServiceName(w.Service), Weight: 1}}
	}
	return r
}

// millis returns n milliseconds as a duration from 0 to maxTime.
func millis(n float64) time.Duration {
	return time.Duration(limit(n, float64(maxTime.Milliseconds())) * float64(time.Millisecond))
}

// limit returns n limited to 0 to highest.
func limit(n, highest float64) float64 {
	return min(max(n, 0), highest)
}
