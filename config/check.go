package config

import (
	"fmt"
	"strings"
)

// Finding is something that a check of a configuration found.
type Finding struct {
	Place string `json:"place,omitempty"` // entry that it is about
	Text  string `json:"text"`
}

// String returns the place and the text.
func (f Finding) String() string { return strings.TrimSpace(f.Place + " " + f.Text) }

func routeFinding(r DraftRoute, format string, args ...any) Finding {
	name := r.Name
	if name == "" {
		name = r.Database
	}
	return Finding{Place: fmt.Sprintf("route %q", name), Text: fmt.Sprintf(format, args...)}
}

func serviceFinding(s Service, format string, args ...any) Finding {
	return Finding{Place: fmt.Sprintf("service %q", s.Name), Text: fmt.Sprintf(format, args...)}
}

func customerFinding(c DraftCustomer, format string, args ...any) Finding {
	return Finding{Place: fmt.Sprintf("customer %q", c.Name), Text: fmt.Sprintf(format, args...)}
}

// collector keeps findings up to a limit.
type collector struct {
	limit    int
	findings []Finding
}

func (c *collector) add(findings ...Finding) {
	c.findings = append(c.findings, findings[:min(len(findings), c.limit-len(c.findings))]...)
}

func (c *collector) full() bool { return len(c.findings) >= c.limit }

// Warnings returns what is valid and probably not meant: entries that can never match, and limits
// that contradict each other. zones is the number of availability zones.
func (d *Draft) Warnings(zones int) []Finding {
	var out []Finding
	out = append(out, d.routeWarnings()...)
	out = append(out, d.serviceWarnings(zones)...)
	return append(out, d.customerWarnings()...)
}

func (d *Draft) routeWarnings() []Finding {
	serving := make(map[string]DraftRoute, len(d.Routes)) // by database
	for _, r := range d.Routes {
		if other, ok := serving[r.Database]; !ok || len(r.Prefix) < len(other.Prefix) {
			serving[r.Database] = r
		}
	}
	hasKeys := false
	for _, c := range d.Customers {
		hasKeys = hasKeys || len(c.Keys) > 0
	}
	var out []Finding
	for _, r := range d.Routes {
		if s := serving[r.Database]; s.Prefix != r.Prefix {
			out = append(out, routeFinding(r, "can never match: route %q serves all of database %q", s.Name, r.Database))
		}
		if d.CallersIdentified && !hasKeys && !r.Public {
			out = append(out, routeFinding(r, "can never match: no customer has a key, and it is not public"))
		}
		out = append(out, d.limitWarnings(r)...)
	}
	return out
}

// limitWarnings returns the limits of a route that contradict each other.
func (d *Draft) limitWarnings(r DraftRoute) []Finding {
	var out []Finding
	switch {
	case r.LatencyGoal <= 0:
		out = append(out, routeFinding(r, "has no latency objective: requests that have to wait are refused"))
	case r.Timeout > 0 && r.LatencyGoal > r.Timeout:
		out = append(out, routeFinding(r, "has a latency objective of %v, beyond the timeout of %v", r.LatencyGoal, r.Timeout))
	}
	if idle := d.IdleTransactionTimeout; idle > 0 && r.Timeout > idle {
		out = append(out, routeFinding(r, "lets a statement take %v, longer than the %v after which an idle transaction ends", r.Timeout, idle))
	}
	switch {
	case r.Freshness == Latest && r.MaxAge > 0:
		out = append(out, routeFinding(r, "bounds the age of reads that must see the latest data; the bound has no effect"))
	case (r.Freshness == Bounded || r.Freshness == Session) && r.MaxAge <= 0:
		out = append(out, routeFinding(r, "allows reads no age: each one needs the primary"))
	}
	if r.Priority < 0 {
		out = append(out, routeFinding(r, "has the priority %d; 0 is the highest", r.Priority))
	}
	return out
}

func (d *Draft) serviceWarnings(zones int) []Finding {
	used := make(map[string]bool, len(d.Services))
	for _, r := range d.Routes {
		used[r.Service] = true
	}
	var out []Finding
	for _, s := range d.Services {
		if !used[s.Name] {
			out = append(out, serviceFinding(s, "is used by no route"))
		}
		if least := minConns(zones); s.MaxConns > 0 && s.MaxConns < least {
			out = append(out, serviceFinding(s, "accepts %d connections; one instance in each of %d zones and control need %d", s.MaxConns, zones, least))
		}
		if s.SyncReplicas < 0 {
			out = append(out, serviceFinding(s, "has %d synchronous replicas", s.SyncReplicas))
		}
	}
	return out
}

const (
	// leastConnsPerZone is the number of connections to a backend server with which one instance can
	// serve: one for probes, one for statements, and one while an idle transaction holds another.
	leastConnsPerZone = 3
	// controlConns is the number of connections that control uses.
	controlConns = 2
)

// minConns returns the number of connections that a backend server has to accept.
func minConns(zones int) int { return controlConns + leastConnsPerZone*max(1, zones) }

func (d *Draft) customerWarnings() []Finding {
	var out []Finding
	for _, c := range d.Customers {
		if len(c.Keys) == 0 {
			out = append(out, customerFinding(c, "can never match: it has no key"))
		}
		if c.Capped() && c.Burst < 1 {
			out = append(out, customerFinding(c, "has a cap below one operation at a time: its burst is %g", c.Burst))
		}
		if !c.Capped() && c.Burst > 0 {
			out = append(out, customerFinding(c, "has a burst and no rate; it is not capped"))
		}
	}
	return out
}
