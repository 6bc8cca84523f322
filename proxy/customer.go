package proxy

import (
	"encoding/hex"

	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/event"
)

// identity tells on whose behalf a session runs. It does not hold what the caller presented, which
// may be the secret of a customer.
type identity struct {
	key    config.Key
	caller string // distinguishes callers where they are not identified as customers
}

// callerDigestBytes is the length of the part of a digest that distinguishes callers.
const callerDigestBytes = 8

func newIdentity(user string) identity {
	key := config.NewKey(user)
	return identity{key: key, caller: hex.EncodeToString(key[:callerDigestBytes])}
}

// flow returns the name under which the requests of the session share queues fairly with others.
func (s *session) flow() string {
	if s.customer != "" {
		return s.customer
	}
	return s.identity.caller
}

// flowWeight returns the weight of the flow. It is 0 where callers are not identified as customers.
func (s *session) flowWeight() float64 {
	if s.customer == "" {
		return 0
	}
	return s.weight
}

var (
	deniedFault        = fault(Denied, "not run: no customer that may use this database has the key")
	customerMovedFault = fault(Aborted, "the key of the session belongs to another customer now")
)

// identify returns the customer in whose name requests on the route run, by the document in force.
// It has no name where callers need no key.
func (s *Server) identify(id identity, r config.Route) (config.Customer, *Fault) {
	doc := s.doc.Load()
	if doc == nil || doc.Customers == nil {
		return config.Customer{}, nil
	}
	c, ok := doc.CustomerOf(id.key)
	if !ok && !r.Public {
		s.stats.Refused(errs.ReasonAuthentication)
		s.log.Request(zerolog.InfoLevel).Str(event.Database, r.Database).Str(event.Code, Denied.String()).Msg("caller denied")
		return config.Customer{}, deniedFault
	}
	return c, nil
}

// identifyUnit sets the customer of a statement outside a transaction, or of a transaction that
// begins. A holder relies on the instance of the caller, since keys are not forwarded.
func (s *session) identifyUnit(r config.Route) *Fault {
	if s.forwardedRoute != nil {
		return nil
	}
	s.identifiedBy = s.srv.doc.Load()
	c, f := s.srv.identify(s.identity, r)
	s.customer, s.weight, s.customerPriority = c.Name, c.Weight(), c.Priority
	return f
}

// checkCustomer returns a fault if the key of the session does not belong any more to the customer
// in whose name the current statement or transaction, which runs on the route, was started.
func (s *session) checkCustomer(r config.Route) *Fault {
	doc := s.srv.doc.Load()
	if s.forwardedRoute != nil || doc == s.identifiedBy {
		return nil
	}
	c, f := s.srv.identify(s.identity, r)
	switch {
	case f != nil:
		return f
	case c.Name != s.customer:
		return customerMovedFault
	}
	s.identifiedBy = doc
	return nil
}

// requireCustomer returns an error if the key of the session was taken away while the request
// waited.
func (w *operation) requireCustomer() error {
	if f := w.session.checkCustomer(w.route); f != nil {
		return errs.New(errs.NotRun, errs.ReasonAuthentication, f.Text)
	}
	return nil
}
