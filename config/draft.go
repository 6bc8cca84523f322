package config

import (
	"time"

	"github.com/rotisserie/eris"
)

// Draft is a configuration as it was sent, before it is checked. It also has what a Document leaves
// out: names of routes, routes that others hide, and entries that are listed twice.
type Draft struct {
	Version                uint64
	Routes                 []DraftRoute
	Services               []Service
	Customers              []DraftCustomer
	CallersIdentified      bool // the configuration lists customers, if only none
	IdleTransactionTimeout time.Duration
}

// DraftRoute is a route of a Draft.
type DraftRoute struct {
	Name string
	Kind string // of freshness, as it was sent
	Route
}

// DraftCustomer is a customer of a Draft, with its keys.
type DraftCustomer struct {
	Customer
	Keys []Key
}

// Document checks the draft and returns the document. The error is the first one that Errors
// returns.
func (d *Draft) Document() (*Document, error) {
	doc, findings := d.build(1)
	if len(findings) > 0 {
		return nil, eris.New(findings[0].String())
	}
	return doc, nil
}

// Errors returns what makes the draft invalid.
func (d *Draft) Errors() []Finding {
	_, findings := d.build(maxErrors)
	return findings
}

// maxErrors is the number of errors after which a check ends.
const maxErrors = 1000

// build returns the document of the draft, and at most limit errors.
func (d *Draft) build(limit int) (*Document, []Finding) {
	doc := &Document{
		Version: d.Version, Routes: make(map[string]Route, len(d.Routes)), Services: make(map[string]Service, len(d.Services)),
		IdleTransactionTimeout: d.IdleTransactionTimeout,
	}
	c := &collector{limit: limit}
	if d.Version == 0 {
		c.add(Finding{Text: "the configuration has no version"})
	}
	for _, s := range d.Services {
		switch _, duplicate := doc.Services[s.Name]; {
		case s.Name == "":
			c.add(Finding{Text: "a service has no name"})
		case duplicate:
			c.add(serviceFinding(s, "is listed twice"))
		}
		doc.Services[s.Name] = s
	}
	places := make(map[routePlace]bool, len(d.Routes))
	for _, r := range d.Routes {
		if c.full() {
			break
		}
		c.add(d.checkRoute(doc, r, places)...)
		// Callers name only a database; the route with the shortest prefix serves it.
		if other, duplicate := doc.Routes[r.Database]; !duplicate || len(r.Prefix) < len(other.Prefix) {
			doc.Routes[r.Database] = r.Route
		}
	}
	if d.CallersIdentified {
		doc.IdentifyCallers()
	}
	for _, k := range d.Customers {
		if c.full() {
			break
		}
		if err := doc.AddCustomer(k.Customer, k.Keys...); err != nil {
			c.add(Finding{Text: err.Error()})
		}
	}
	return doc, c.findings
}

type routePlace struct{ database, prefix string }

// checkRoute returns the errors of a route.
func (d *Draft) checkRoute(doc *Document, r DraftRoute, places map[routePlace]bool) []Finding {
	var out []Finding
	at := routePlace{r.Database, r.Prefix}
	if r.Freshness == UnknownFreshness {
		out = append(out, routeFinding(r, "has the unknown type %q", r.Kind))
	}
	if r.Database == "" {
		out = append(out, routeFinding(r, "names no database"))
	} else if places[at] {
		out = append(out, routeFinding(r, "serves database %q at %q, as another route does", r.Database, r.Prefix))
	}
	places[at] = true
	if _, ok := doc.Services[r.Service]; !ok {
		out = append(out, routeFinding(r, "names unknown service %q", r.Service))
	}
	if r.Timeout <= 0 {
		out = append(out, routeFinding(r, "has no timeout"))
	}
	return out
}
