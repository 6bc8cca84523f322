package proxy

import (
	"maps"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/place"
	"tamarackcross/route"
)

// Where callers identify themselves as customers and some instances hold the connections, the
// requests of a customer go to the same holders, since a connection serves only one customer: to
// holders in the zone of the member that is to serve them.

// ForwardsToAllZones reports whether requests go to holders in other zones.
func (s *Server) ForwardsToAllZones() bool {
	doc := s.doc.Load()
	return doc != nil && len(doc.Customers) > 0
}

const (
	// hintLifetime is how long the load that a holder told counts.
	hintLifetime = time.Second
	// closingConns is the number of connections to a backend server that the shares leave: the
	// server still counts one that was closed while its statement runs.
	closingConns = 3
)

// customerShares returns the shares of a holder where connections serve only one customer each. The
// holders have all of them. Those in the zone of a member take the requests for it. The others have
// one, and more while the server accepts them: until instances learn of another primary, or while
// that zone is cut off.
func customerShares(cfg config.Service, zones int) connShares {
	conns := cfg.MaxConns - reservedControlConns
	holders := place.HoldersPerZone(conns, zones)
	near := (conns-closingConns)/holders - zones*probeConns - (zones-1)*scarceConnShare
	return connShares{base: scarceConnShare, sameZone: max(minConnShare, near), keepIdle: true, fixedSameZone: true}
}

// customerShares returns the shares of this instance. One that only acts as a holder for a while has
// those of a distant one.
func (v *service) customerShares(cfg config.Service, zones int, actsAsHolder bool) connShares {
	if !actsAsHolder {
		return connShares{base: scarceConnShare}
	}
	shares := customerShares(cfg, zones)
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.holders, v.srv.name) {
		shares.sameZone = 0
	}
	return shares
}

// ownZone is the key of the own zone in lists by zone.
const ownZone = ""

// customerHolders is what an instance knows of the holders of customers. It is guarded by mu of the
// service.
type customerHolders struct {
	zones map[string]*zoneHolders
	loads map[string]toldLoad // by holder
}

// zoneHolders are the holders of one zone.
type zoneHolders struct {
	holders []string
	ranker  *place.Ranker
	widths  map[string]int // by customer, if more than one holder has it
}

type toldLoad struct {
	requests int
	at       time.Time
}

// moveCustomers sets the holders of all zones. The caller holds v.mu.
func (v *service) moveCustomers(byZone map[string][]string) {
	old := v.customerHolders.zones
	v.customerHolders.zones = make(map[string]*zoneHolders, len(byZone))
	for zone, names := range byZone {
		h := old[zone]
		if h == nil || !slices.Equal(h.holders, names) {
			h = &zoneHolders{holders: names, ranker: place.NewRanker(v.name, names), widths: make(map[string]int)}
			if was := old[zone]; was != nil && zone == ownZone {
				v.logMoves(was, h)
			}
		}
		v.customerHolders.zones[zone] = h
	}
	if v.customerHolders.loads == nil {
		v.customerHolders.loads = make(map[string]toldLoad)
	}
	maps.DeleteFunc(v.customerHolders.loads, func(_ string, told toldLoad) bool { return v.srv.now().Sub(told.at) > hintLifetime })
}

// logMoves logs how many customers get another holder.
func (v *service) logMoves(was, is *zoneHolders) {
	doc := v.srv.doc.Load()
	if doc == nil || len(doc.Customers) == 0 {
		return
	}
	moved := 0
	for name := range doc.Customers {
		if !slices.Equal(was.ranker.Rank(name, 1, nil), is.ranker.Rank(name, 1, nil)) {
			moved++
		}
	}
	v.log.Info().Strs("was", was.holders).Strs("holders", is.holders).Int("moved", moved).Int("customers", len(doc.Customers)).
		Msg("holders of the zone changed; moved customers have their connections elsewhere")
}

// destination says where a request is forwarded.
type destination struct {
	customer string
	zone     string // of the holders; those of the own zone stand in for them
}

// destination returns where the request is forwarded: to holders in the zone of the member that is to
// serve it, since they have most of its connections. The way is not longer, as the request has to
// reach that zone in any case.
func (w *operation) destination() destination {
	to := destination{customer: w.session.customer}
	if to.customer == "" {
		return to
	}
	if m := w.likelyMember(); m != nil {
		if zone := m.snapshot().Zone; zone != w.session.srv.zone {
			to.zone = zone
		}
	}
	return to
}

// likelyMember returns the member that is expected to serve the request, or nil. The holder chooses
// it.
func (w *operation) likelyMember() *member {
	tx, bound := w.session.tx, w.readBound()
	if w.writes || tx != nil && !tx.readOnly || !bound.known {
		return w.svc.primaryMember()
	}
	now := w.now()
	switch choice := w.svc.pickMember(w.routeQuery(now, nil), bound, w.session.customer, now).(type) {
	case route.Use:
		return w.svc.member(choice.Name)
	case route.Wait:
		return w.svc.member(choice.Name)
	default:
		return nil
	}
}

// chooseCustomerHolder returns the holder to which a request of the customer is forwarded, or nil if this
// instance is to run it or no holder answers. The caller holds v.mu and the mutex of the peers.
func (v *service) chooseCustomerHolder(to destination, tried []string) *peer {
	zones := []string{to.zone, ownZone}
	if to.zone == ownZone {
		zones = zones[:1]
	}
	for _, zone := range zones {
		h := v.customerHolders.zones[zone]
		if h == nil {
			continue
		}
		if name, ok := place.ChooseRanked(v.rankedHolders(h, to.customer, tried), h.widths[to.customer], v.srv.now(), v.rnd); ok {
			return v.srv.peers.byName[name] // nil for this instance
		}
	}
	return nil
}

// rankedHolders returns the holders for the customer, the highest ranked first, without those in tried.
func (v *service) rankedHolders(zone *zoneHolders, customer string, tried []string) []place.RankedHolder {
	var out []place.RankedHolder
	for _, name := range zone.ranker.Rank(customer, place.MaxHolders, nil) {
		h := place.RankedHolder{Holder: place.Holder{Name: name}}
		e := v.srv.peers.byName[name]
		switch {
		case name == v.srv.name:
			h.Load = v.loadLocked()
		case e == nil || slices.Contains(tried, name):
			continue
		default:
			h.InFlight, h.Failing, h.AnsweredSince = len(e.borrowed), e.failing, e.unsettled
			if told := v.customerHolders.loads[name]; v.srv.now().Sub(told.at) <= hintLifetime {
				h.Load = told.requests
			}
		}
		out = append(out, h)
	}
	return out
}

// loadLocked returns the number of requests that have a connection or wait for one here. The caller
// holds v.mu.
func (v *service) loadLocked() int {
	n := 0
	for _, m := range v.members {
		n += m.connQueue.load()
	}
	return n
}

// holderHint returns what this instance tells of itself with its answer.
func (v *service) holderHint(customer string) HolderHint {
	if customer == "" {
		return HolderHint{}
	}
	v.mu.Lock()
	load, holders := v.loadLocked(), len(v.holders)
	v.mu.Unlock()
	width, changed := v.use.width(customer, holders, v.srv.now())
	if changed {
		v.log.Info().Str(event.Customer, customer).Int("holders", width).Int("requests", load).Msg("requests of a customer are spread over another number of holders")
	}
	return HolderHint{Load: load, Width: width}
}

// recordHolderHint records what a holder told with its answer. The first holder of a customer that
// answers decides over how many its requests are spread.
func (v *service) recordHolderHint(holder *peer, customer string, hint HolderHint) {
	now, p := v.srv.now(), v.srv.peers
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.customerHolders.zones[holder.Zone]
	if h == nil {
		return
	}
	v.customerHolders.loads[holder.Name] = toldLoad{requests: hint.Load, at: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range h.ranker.Rank(customer, place.MaxHolders, nil) {
		switch e := p.byName[name]; {
		case name == holder.Name && hint.Width > 1:
			h.widths[customer] = hint.Width
			return
		case name == holder.Name:
			delete(h.widths, customer)
			return
		case e != nil && !e.failing:
			return
		}
	}
}
