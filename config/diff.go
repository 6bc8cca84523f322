package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns what changes when next replaces old, in the order of routes, services, customers and
// limits. It shows how many keys change, and none of them.
func Diff(old, next *Draft) []Finding {
	out := diffEntries("route", routeFields(old), routeFields(next))
	out = append(out, diffEntries("service", serviceFields(old), serviceFields(next))...)
	out = append(out, diffEntries("customer", customerFields(old), customerFields(next))...)
	out = append(out, diffKeys(old, next)...)
	limits := diffFields(fields{"idle transaction timeout": old.IdleTransactionTimeout.String()}, fields{"idle transaction timeout": next.IdleTransactionTimeout.String()})
	if limits != "" {
		out = append(out, Finding{Place: "limits", Text: limits})
	}
	if old.CallersIdentified != next.CallersIdentified {
		text := "callers need keys no longer"
		if next.CallersIdentified {
			text = "callers need keys from now on"
		}
		out = append(out, Finding{Place: "customers", Text: text})
	}
	return out
}

// fields holds the values of an entry by the name of the field.
type fields map[string]string

var freshnessNames = map[Freshness]string{Latest: "latest", Bounded: "bounded", Session: "session"}

func routeFields(d *Draft) map[string]fields {
	out := make(map[string]fields, len(d.Routes))
	for _, r := range d.Routes {
		out[r.Database+r.Prefix] = fields{
			"name": r.Name, "service": r.Service, "freshness": freshnessNames[r.Freshness], "age of reads": r.MaxAge.String(), "timeout": r.Timeout.String(),
			"latency objective": r.LatencyGoal.String(), "priority": fmt.Sprint(r.Priority), "public": fmt.Sprint(r.Public),
		}
	}
	return out
}

func serviceFields(d *Draft) map[string]fields {
	out := make(map[string]fields, len(d.Services))
	for _, s := range d.Services {
		out[s.Name] = fields{"connections": fmt.Sprint(s.MaxConns), "synchronous replicas": fmt.Sprint(s.SyncReplicas)}
	}
	return out
}

func customerFields(d *Draft) map[string]fields {
	out := make(map[string]fields, len(d.Customers))
	for _, c := range d.Customers {
		out[c.Name] = fields{"rate": fmt.Sprint(c.Rate), "burst": fmt.Sprint(c.Burst), "priority": fmt.Sprint(c.Priority)}
	}
	return out
}

// diffEntries returns the entries that are added, removed and changed, in the order of their names.
func diffEntries(kind string, old, next map[string]fields) []Finding {
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next)))
	slices.Sort(names)
	var out []Finding
	for _, name := range slices.Compact(names) {
		a, hadIt := old[name]
		b, hasIt := next[name]
		text := diffFields(a, b)
		switch {
		case !hadIt:
			text = "is added"
		case !hasIt:
			text = "is removed"
		case text == "":
			continue
		}
		out = append(out, Finding{Place: fmt.Sprintf("%s %q", kind, name), Text: text})
	}
	return out
}

// diffFields returns the fields that differ, in the order of their names.
func diffFields(old, next fields) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if old[name] != next[name] {
			out = append(out, fmt.Sprintf("%s %s -> %s", name, old[name], next[name]))
		}
	}
	return strings.Join(out, ", ")
}

// diffKeys returns how many keys of each customer are added and removed.
func diffKeys(old, next *Draft) []Finding {
	before := make(map[string][]Key, len(old.Customers))
	for _, c := range old.Customers {
		before[c.Name] = c.Keys
	}
	var out []Finding
	for _, c := range next.Customers {
		had, known := before[c.Name]
		added, removed := countMissing(c.Keys, had), countMissing(had, c.Keys)
		if known && added+removed > 0 {
			out = append(out, customerFinding(c, "%d keys added, %d removed", added, removed))
		}
	}
	return out
}

// countMissing returns how many of keys are not in the others.
func countMissing(keys, others []Key) int {
	known := make(map[Key]bool, len(others))
	for _, k := range others {
		known[k] = true
	}
	n := 0
	for _, k := range keys {
		if !known[k] {
			n++
		}
	}
	return n
}
