// Package tablecheck finds the errors and contradictions of a routing table before it is published.
package tablecheck

import (
	"fmt"
	"strings"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/routing"
)

// Severity tells whether a table must not be published as it is.
type Severity int

const (
	// Warning is the severity of what has no effect or contradicts another value.
	Warning Severity = iota
	// Error is the severity of what VMs would ignore, limit to its range or serve wrongly.
	Error
)

// String returns the severity as it is printed.
func (s Severity) String() string {
	return [...]string{"warning", "error"}[s]
}

// Part is a part of a table.
type Part int

// The parts of a table.
const (
	PartTable Part = iota
	PartRoute
	PartService
	PartLimits
)

// Field is a value of a part. The adapter knows its published name.
type Field int

// The fields of routes, services and limits. FieldNone stands for the part as a whole.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldTimeout
	FieldTarget
	FieldAttempts
	FieldService
	FieldSplit
	FieldShards
	FieldTopK
	FieldMinShare
	FieldConnections
	FieldHeader
	FieldBody
	FieldHeaderTimeout
	FieldIdleTimeout
)

// Finding is a problem with one value of a table.
type Finding struct {
	Severity Severity
	Part     Part
	// Index is the position of a route or a service in its list, from 0.
	Index int
	Field Field
	Text  string
}

// Draft is a table as it is written, with numbers that may be out of range.
type Draft struct {
	Version  unit.TableVersion
	Routes   []routing.Route
	Services []routing.Service
	Limits   routing.Limits
}

// Live is what a running VM says. The zero value means that none was asked.
type Live struct {
	// Known reports that a VM was asked.
	Known bool
	// Version is that of the table in force, 0 if there is none.
	Version unit.TableVersion
	// Endpoints counts the endpoints of each service.
	Endpoints map[unit.ServiceName]int
}

// checker collects the findings of one draft.
type checker struct {
	draft    Draft
	live     Live
	findings []Finding
}

// Check returns the findings of a draft, by part and position.
func Check(d Draft, live Live) []Finding {
	c := &checker{draft: d, live: live}
	if live.Known && d.Version <= live.Version {
		c.add(Error, PartTable, 0, FieldVersion, "VMs would ignore the table: version %d is in force", live.Version)
	}
	c.checkNames()
	c.checkHidden()
	for i := range d.Routes {
		c.checkRoute(i, &d.Routes[i])
	}
	c.checkServices()
	c.checkLimits()
	return c.findings
}

func (c *checker) add(s Severity, p Part, index int, f Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Severity: s, Part: p, Index: index, Field: f, Text: fmt.Sprintf(format, args...),
	})
}

// checkNames reports routes without a name of their own, by which logs and metrics tell them apart.
func (c *checker) checkNames() {
	first := make(map[unit.RouteName]int)
	for i, r := range c.draft.Routes {
		other, taken := first[r.Name]
		switch {
		case r.Name == "":
			c.add(Error, PartRoute, i, FieldName, "missing")
		case taken:
			c.add(Error, PartRoute, i, FieldName, "%q is also the name of route %d", r.Name, other)
		default:
			first[r.Name] = i
		}
	}
}

// checkHidden reports routes that can never match since an earlier one has the same host and prefix.
func (c *checker) checkHidden() {
	type target struct {
		host   unit.HostName
		prefix string
	}
	first := make(map[target]int)
	for i, r := range c.draft.Routes {
		t := target{r.Host, r.Prefix}
		if other, taken := first[t]; taken {
			c.add(Warning, PartRoute, i, FieldPrefix, "never matches: route %d (%s) has the same host and prefix",
				other, c.draft.Routes[other].Name)
			continue
		}
		first[t] = i
	}
}

// checkRoute reports what is wrong with one route.
func (c *checker) checkRoute(i int, r *routing.Route) {
	if r.Host == "" {
		c.add(Error, PartRoute, i, FieldHost, "missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, PartRoute, i, FieldPrefix, "%q does not begin and end with a slash", r.Prefix)
	}
	c.checkTimes(i, r)
	if r.Attempts < 1 || r.Attempts > routing.MaxAttempts {
		c.add(Error, PartRoute, i, FieldAttempts, "%d is not from 1 to %d", r.Attempts, routing.MaxAttempts)
	}
	switch {
	case r.Gathers() && len(r.Split) > 0:
		c.add(Error, PartRoute, i, FieldShards, "the route also names a single service or a split, which have no effect")
	case r.Gathers():
		c.checkShards(i, r)
	case len(r.Split) == 0:
		c.add(Error, PartRoute, i, FieldNone, "names no service")
	default:
		c.checkSplit(i, r)
	}
	c.checkEndpoints(i, r)
}

// checkTimes reports times of a route that are missing or contradict each other.
func (c *checker) checkTimes(i int, r *routing.Route) {
	if r.Timeout <= 0 {
		c.add(Error, PartRoute, i, FieldTimeout, "is not above 0: no request could be served")
	}
	if r.TargetLatency <= 0 {
		c.add(Warning, PartRoute, i, FieldTarget, "is not above 0: no request is hedged in time")
	}
	if r.Timeout > 0 && r.Timeout < r.TargetLatency {
		c.add(Warning, PartRoute, i, FieldTimeout, "%v is below the target of %v, which no late answer can reach",
			r.Timeout, r.TargetLatency)
	}
}

// checkShards reports what is wrong with a route whose replies are merged.
func (c *checker) checkShards(i int, r *routing.Route) {
	if !r.Repeatable {
		c.add(Error, PartRoute, i, FieldShards, "requests to several services must be repeatable")
	}
	if r.TopK < 1 {
		c.add(Error, PartRoute, i, FieldTopK, "%d: merged answers would be empty", r.TopK)
	}
	if r.MinShare < 0 || r.MinShare > 1 {
		c.add(Error, PartRoute, i, FieldMinShare, "%g is not from 0 to 1: no set of shards reaches it", float64(r.MinShare))
	}
	seen := make(map[unit.ServiceName]bool)
	for _, s := range r.Shards {
		if seen[s] {
			c.add(Error, PartRoute, i, FieldShards, "service %q is listed twice", s)
		}
		seen[s] = true
	}
}

// checkSplit reports what is wrong with the weights of a split.
func (c *checker) checkSplit(i int, r *routing.Route) {
	sum := unit.Weight(0)
	for _, p := range r.Split {
		switch {
		case p.Weight < 0:
			c.add(Error, PartRoute, i, FieldSplit, "the weight of service %q is below 0", p.Service)
		case p.Weight == 0:
			c.add(Warning, PartRoute, i, FieldSplit, "service %q never gets a request: its weight is 0", p.Service)
		}
		sum += max(p.Weight, 0)
	}
	if sum <= 0 {
		c.add(Error, PartRoute, i, FieldSplit, "all weights are 0")
	}
}

// checkEndpoints compares a route with the endpoints that a running VM knows.
func (c *checker) checkEndpoints(i int, r *routing.Route) {
	if !c.live.Known {
		return
	}
	served := 0
	for _, s := range r.Shards {
		if c.live.Endpoints[s] > 0 {
			served++
		}
	}
	if needed := gather.MinShards(r.MinShare, len(r.Shards)); r.Gathers() && served < needed {
		c.add(Warning, PartRoute, i, FieldMinShare, "%d of %d shards have endpoints now, and an answer needs %d",
			served, len(r.Shards), needed)
	}
	most := 0
	for _, s := range r.Shards {
		most = max(most, c.live.Endpoints[s])
	}
	for _, p := range r.Split {
		if c.live.Endpoints[p.Service] == 0 && p.Weight > 0 {
			c.add(Warning, PartRoute, i, FieldSplit, "service %q has no endpoints now", p.Service)
		}
		most = max(most, c.live.Endpoints[p.Service])
	}
	if most > 0 && r.Attempts > most {
		c.add(Warning, PartRoute, i, FieldAttempts, "%d attempts, but no service of the route has more than %d endpoints now",
			r.Attempts, most)
	}
}

// checkServices reports services that are listed twice, not used, or used and not listed.
func (c *checker) checkServices() {
	used := make(map[unit.ServiceName]int)
	for i, r := range c.draft.Routes {
		for _, s := range r.Shards {
			used[s] = i
		}
		for _, p := range r.Split {
			used[p.Service] = i
		}
	}
	first := make(map[unit.ServiceName]int)
	for i, s := range c.draft.Services {
		if other, taken := first[s.Name]; taken {
			c.add(Error, PartService, i, FieldName, "service %q is also entry %d, which has no effect", s.Name, other)
		}
		first[s.Name] = i
		if _, ok := used[s.Name]; !ok {
			c.add(Warning, PartService, i, FieldName, "no route names service %q", s.Name)
		}
		if s.Connections < 0 {
			c.add(Error, PartService, i, FieldConnections, "%d is below 0", s.Connections)
		}
	}
	reported := make(map[unit.ServiceName]bool)
	for i, r := range c.draft.Routes {
		for _, s := range r.Services() {
			if _, ok := first[s]; !ok && !reported[s] {
				reported[s] = true
				c.add(Warning, PartRoute, i, FieldService, "service %q is not listed, so its connections have no limit", s)
			}
		}
	}
}

// checkLimits reports limits on requests that are below 0 or shut out all requests.
func (c *checker) checkLimits() {
	l := c.draft.Limits
	values := []struct {
		field Field
		value int64
	}{
		{FieldHeader, int64(l.Header)},
		{FieldBody, int64(l.Body)},
		{FieldHeaderTimeout, int64(l.HeaderTimeout)},
		{FieldIdleTimeout, int64(l.IdleTimeout)},
	}
	for _, v := range values {
		if v.value < 0 {
			c.add(Error, PartLimits, 0, v.field, "is below 0")
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, PartLimits, 0, FieldHeaderTimeout, "%v is above the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}
