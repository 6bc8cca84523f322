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

var (
	deniedFault        = fault(Denied, "not run: no customer that may use this database has the key")
	customerMovedFault = fault(Aborted, "the key of the session belongs to another customer now")
)

// identify returns the customer in whose name requests on the route run, by the document in force.
// It is empty where callers need no key.
func (s *Server) identify(id identity, r config.Route) (customer string, f *Fault) {
	doc := s.doc.Load()
	if doc == nil || doc.Customers == nil {
		return "", nil
	}
	c, ok := doc.CustomerOf(id.key)
	if !ok && !r.Public {
		s.stats.Refused(errs.ReasonAuthentication)
		s.log.Request(zerolog.InfoLevel).Str(event.Database, r.Database).Str(event.Code, Denied.String()).Msg("caller denied")
		return "", deniedFault
	}
	return c.Name, nil
}

// identifyUnit sets the customer of a statement outside a transaction, or of a transaction that
// begins. A holder relies on the instance of the caller, since keys are not forwarded.
func (s *session) identifyUnit(r config.Route) *Fault {
	if s.forwardedRoute != nil {
		return nil
	}
	s.identifiedBy = s.srv.doc.Load()
	customer, f := s.srv.identify(s.identity, r)
	s.customer = customer
	return f
}

// checkCustomer returns a fault if the key of the session does not belong any more to the customer
// in whose name the current statement or transaction, which runs on the route, was started.
func (s *session) checkCustomer(r config.Route) *Fault {
	doc := s.srv.doc.Load()
	if s.forwardedRoute != nil || doc == s.identifiedBy {
		return nil
	}
	customer, f := s.srv.identify(s.identity, r)
	switch {
	case f != nil:
		return f
	case customer != s.customer:
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
