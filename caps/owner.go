package caps

import (
	"math"
	"time"
)

// Owner keeps the buckets of all customers while an instance leads control. Each term has an
// Owner of its own.
type Owner struct {
	term         uint64
	first        bool      // there was no owner before
	fillsFrom    time.Time // the former owner lends nothing any more
	unknownUntil time.Time // loans of former owners have ended
	unknownPart  float64   // of a depth that may be lent by former owners
	openPart     float64   // of a depth that may be lent as long as their loans may be in force
	version      uint64    // of the configuration
	customers    map[string]*customer
	holders      map[holderID]*record
	nextSweep    time.Time
	counts       Counts
}

// Counts is what an Owner has done since its start.
type Counts struct {
	Asks  int64
	Lent  int64 // tokens
	Unmet int64 // requests reported as waiting or refused for which there was no token
}

type holderID struct {
	name string
	run  uint64
}

// customer is the bucket of a customer.
type customer struct {
	cap      Cap
	held     heldCap
	capped   bool
	level    float64 // tokens that are not lent
	lent     int64   // tokens that holders may have, as far as they are known
	unknown  float64 // tokens that other holders may have from former owners
	filledAt time.Time
	unmet    [classes]int // sum over the accounts
	deficit  int64        // likewise
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// heldCap is what is left of caps before the present one, as long as tokens may exist by them.
type heldCap struct {
	depth float64 // the largest
	rate  float64 // the least
	until time.Time
}

// account is what a holder has of a customer.
type account struct {
	lent     int64 // the claim included
	void     int64 // lent before the cap was lowered
	gone     int64 // as reported
	returned int64 // as reported
	unmet    [classes]int
	deficit  int64 // of the stock that the holder wants
}

func (a *account) outstanding() int64 { return a.lent - a.gone - a.returned }

// record is what the owner knows about a holder.
type record struct {
	number   uint64
	epoch    uint32
	until    time.Time
	accounts map[string]*account
}

const (
	// sweepInterval is the time between searches for loans that have ended.
	sweepInterval = 250 * time.Millisecond
	// recordLife is how long the number of the last Ask of a holder is kept after its loans have
	// ended, for Asks that arrive late.
	recordLife = time.Minute
	// minGap is the least time between two Asks of a holder for stocks.
	minGap = 300 * time.Millisecond
	// maxGap bounds the time between two Asks of a holder for stocks.
	maxGap = 1500 * time.Millisecond
	// asksPerSecond is how many Asks for stocks an owner takes from all holders.
	asksPerSecond = 250
	// maxWait bounds the time of return that holders are told.
	maxWait = 10 * time.Second
)

// OwnerOption sets a parameter of an Owner.
type OwnerOption func(*Owner)

// WithFormerOwners says how many owners there were after the last one before this that had Settled.
// The loans of all of them leave some room, which halves with each of them, that the owner can use
// at once. Without the option there is none.
func WithFormerOwners(n int) OwnerOption {
	return func(o *Owner) { o.unknownPart, o.openPart = partAfter(n), partAfter(n+1) }
}

// WithoutFormerOwner says that there was no owner before. The buckets begin full.
func WithoutFormerOwner() OwnerOption {
	return func(o *Owner) { o.first, o.fillsFrom, o.unknownUntil = true, time.Time{}, time.Time{} }
}

// partAfter returns the part of a depth that owners lend at most if n of them were not settled.
func partAfter(n int) float64 { return 1 - (1-lentPart)/math.Exp2(float64(n)) }

// NewOwner returns the Owner of an instance that has become the leader of a term. SetCaps has to
// be called before the first Ask is answered.
func NewOwner(term uint64, now time.Time, opts ...OwnerOption) *Owner {
	o := &Owner{
		term: term, fillsFrom: now.Add(confirmLife + confirmMargin), unknownUntil: now.Add(unknownLife), unknownPart: 1, openPart: 1,
		customers: make(map[string]*customer), holders: make(map[holderID]*record),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Term returns the term of the owner.
func (o *Owner) Term() uint64 { return o.term }

// Settled reports whether loans of owners before this one are not in force any more.
func (o *Owner) Settled(now time.Time) bool { return !now.Before(o.unknownUntil) }

// Version returns the version of the configuration by which the owner lends.
func (o *Owner) Version() uint64 { return o.version }

// Counts returns what the owner has done since its start.
func (o *Owner) Counts() Counts { return o.counts }

// Holders returns the number of holders that may have loans.
func (o *Owner) Holders() int { return len(o.holders) }

// SetCaps puts the caps of a configuration in force. Customers that are not in it are not
// capped.
func (o *Owner) SetCaps(version uint64, caps map[string]Cap, now time.Time) {
	if version <= o.version {
		return
	}
	o.version = version
	for name, c := range o.customers {
		c.fill(o, now)
		if _, ok := caps[name]; !ok {
			c.capped = false
		}
	}
	for name, limit := range caps {
		c := o.customers[name]
		if c == nil {
			c = &customer{filledAt: now}
			if o.first || now.After(o.unknownUntil.Add(seconds(limit.span))) {
				c.level = limit.Depth // nothing was sent in the last window
			}
			if now.Before(o.unknownUntil) {
				c.unknown = limit.Depth * o.unknownPart
			}
			o.customers[name] = c
		}
		if limit.Depth < c.cap.Depth {
			o.voidLoans(name)
		}
		c.hold(limit, now)
		c.cap, c.capped = limit, true
		c.fill(o, now)
	}
}

// hold keeps the present cap in mind if another one lowers the depth.
func (c *customer) hold(next Cap, now time.Time) {
	if !now.Before(c.held.until) {
		c.held = heldCap{rate: c.cap.Rate}
	}
	c.held.depth, c.held.rate = max(c.held.depth, c.cap.Depth), min(c.held.rate, c.cap.Rate)
	if next.Depth < c.held.depth {
		c.held.until = now.Add(LoanLife + loanMargin + seconds(next.span))
	}
}

// rate returns the rate by which tokens are gained now. If a new cap has a higher rate and a lower
// depth, it is less than the new rate until no tokens exist by the former depth.
func (c *customer) rate(now time.Time) float64 {
	if !now.Before(c.held.until) || c.held.depth <= c.cap.Depth {
		return c.cap.Rate
	}
	return max(min(c.held.rate, c.cap.Rate), c.cap.Rate-(c.held.depth-c.cap.Depth)/c.cap.span)
}

// voidLoans makes holders drop the tokens of a customer that they have been lent, but not received
// yet. Those that they have received shrink when they have the lower cap.
func (o *Owner) voidLoans(customer string) {
	for _, r := range o.holders {
		if acc := r.accounts[customer]; acc != nil {
			acc.void = acc.lent
		}
	}
}

// fill lets the bucket gain what it has gained since the last call.
func (c *customer) fill(o *Owner, now time.Time) {
	if c.filledAt.Before(o.unknownUntil) && !now.Before(o.unknownUntil) {
		c.fillTo(o, o.unknownUntil) // until then the tokens may have been spent
		c.unknown = 0
	}
	c.fillTo(o, now)
}

func (c *customer) fillTo(o *Owner, now time.Time) {
	from := c.filledAt
	if from.Before(o.fillsFrom) {
		from = o.fillsFrom
	}
	if now.After(from) {
		c.level += c.rate(from) * now.Sub(from).Seconds()
	}
	if now.After(c.filledAt) {
		c.filledAt = now
	}
	c.trim()
}

// trim takes the tokens out of the bucket for which it has no room.
func (c *customer) trim() {
	c.level = min(c.level, max(0, c.cap.Depth-c.unknown-float64(c.lent)))
}

// Handle answers an Ask. confirmed is the start of the latest round in which a majority confirmed
// that the instance leads.
func (o *Owner) Handle(a *Ask, confirmed, now time.Time) Grant {
	if now.Sub(confirmed) > confirmLife || a.Term > o.term {
		return Grant{}
	}
	o.sweep(now)
	g := Grant{Term: o.term, Number: a.Number, Epoch: a.Epoch, Version: o.version, Gap: o.gap()}
	if a.Term < o.term {
		g.State = Recount
		return g
	}
	r, state := o.record(a, now)
	if g.State = state; state != Granted {
		return g
	}
	o.counts.Asks++
	r.number, r.until = a.Number, now.Add(LoanLife+loanMargin)
	for i := range a.Items {
		in := &a.Items[i]
		c := o.customers[in.Customer]
		if c == nil {
			continue
		}
		c.fill(o, now)
		acc := r.accounts[in.Customer]
		if acc == nil {
			acc = c.open(in)
			r.accounts[in.Customer] = acc
		}
		c.report(acc, in)
		g.Items = append(g.Items, o.lend(c, acc, in))
	}
	return g
}

// record returns the record of the holder that sent an Ask, and whether its loans go on.
func (o *Owner) record(a *Ask, now time.Time) (*record, State) {
	id := holderID{a.Holder, a.Run}
	r := o.holders[id]
	switch o.judgeClaims(r, a, now) {
	case claimsRefused:
		return nil, Expired
	case claimsEarly:
		return nil, Silent
	}
	switch {
	case r == nil:
		r = &record{epoch: a.Epoch, accounts: make(map[string]*account)}
		o.holders[id] = r
	case a.Number <= r.number || a.Epoch < r.epoch:
		return nil, Silent
	case a.Epoch > r.epoch:
		o.drop(r, now)
		r.epoch = a.Epoch
	case !now.Before(r.until):
		return nil, Expired
	}
	return r, Granted
}

// claimState says what becomes of the claims of an Ask.
type claimState uint8

const (
	claimsFit     claimState = iota // also if there are none
	claimsEarly                     // the holder may still have tokens above a lower cap, which it will drop
	claimsRefused                   // the loans have ended, or are more than one owner may leave to the next
)

// judgeClaims judges the claims of an Ask that are not in the record of its holder, which may be
// nil.
func (o *Owner) judgeClaims(r *record, a *Ask, now time.Time) claimState {
	out := claimsFit
	for i := range a.Items {
		in := &a.Items[i]
		c := o.customers[in.Customer]
		if in.Covered <= 0 || c == nil || r != nil && r.accounts[in.Customer] != nil {
			continue
		}
		switch {
		case !now.Before(o.unknownUntil):
			return claimsRefused
		case a.Version < o.version:
			out = claimsEarly
		case out == claimsFit && c.capped && float64(c.lent+in.Claim) > lentPart*c.cap.Depth:
			return claimsRefused
		}
	}
	return out
}

// open returns the account of a holder that may claim tokens of former owners. Room is no longer
// reserved for what it claims and for what it has spent.
func (c *customer) open(in *AskItem) *account {
	c.lent += in.Claim
	c.unknown = max(0, c.unknown-float64(in.Covered))
	return &account{lent: in.Claim}
}

// report takes in what a holder says of its tokens.
func (c *customer) report(acc *account, in *AskItem) {
	gone := min(max(in.Gone, acc.gone), acc.lent-acc.returned)
	c.lent -= gone - acc.gone
	acc.gone = gone
	returned := min(max(in.Returned, acc.returned), acc.lent-acc.gone)
	back := returned - acc.returned
	c.lent -= back
	c.level += float64(back)
	c.trim()
	acc.returned = returned
	for k := range classes {
		c.unmet[k] += in.Unmet[k] - acc.unmet[k]
	}
	acc.unmet = in.Unmet
}

// lend lends what the bucket has to a holder: tokens for the requests that were not met, the
// highest class first, then a stock.
func (o *Owner) lend(c *customer, acc *account, in *AskItem) GrantItem {
	if !c.capped {
		return GrantItem{Customer: in.Customer, Lent: acc.lent, Admit: classes - 1}
	}
	total := c.level + float64(c.lent) + c.unknown // what the bucket would hold if nothing were lent
	short := false
	for k := range classes {
		room := min(c.level, total-c.cap.reserved(k), o.lendable(c, lentPart))
		if total < c.cap.Depth/2 {
			room = min(room, c.level-c.cap.reserved(k)/2) // what is lent does not help a request elsewhere
		}
		n := portion(room, int64(in.Unmet[k]), int64(c.unmet[k]))
		o.grant(c, acc, n)
		total -= float64(n)
		acc.unmet[k] -= int(n)
		c.unmet[k] -= int(n)
		o.counts.Unmet += int64(acc.unmet[k])
		short = short || acc.unmet[k] > 0
	}
	deficit := max(0, in.Want-acc.outstanding())
	c.deficit += deficit - acc.deficit
	acc.deficit = deficit
	part := lentPart
	if in.Idle {
		part = idlePart
	}
	room := min(c.level-(1-part)*c.cap.Depth, o.lendable(c, part), o.lendable(c, lentPart)-waitRoom)
	o.grant(c, acc, portion(room, deficit, c.deficit))
	out := GrantItem{Customer: in.Customer, Lent: acc.lent, Void: acc.void, Depth: int64(math.Ceil(c.cap.Depth)), Admit: -1}
	for k := range classes {
		if total >= c.cap.reserved(k) {
			out.Admit = k
		}
		if short {
			out.Wait[k] = c.wait(k, total) + max(0, o.fillsFrom.Sub(c.filledAt))
		}
	}
	return out
}

// lendable returns how many tokens may be lent so that no more than a part of the depth is.
func (o *Owner) lendable(c *customer, part float64) float64 {
	room := part*c.cap.Depth - float64(c.lent)
	if c.unknown > 0 {
		room = min(room, o.openPart*c.cap.Depth-c.unknown-float64(c.lent))
	}
	return room
}

// portion returns how many of the tokens in room a holder gets that needs some of those that all
// need: its share, and at least one.
func portion(room float64, need, all int64) int64 {
	if room < 1 || need <= 0 {
		return 0
	}
	if float64(all) > room {
		need = min(need, max(1, int64(room*float64(need)/float64(all))))
	}
	return min(need, int64(math.Floor(room)))
}

func (o *Owner) grant(c *customer, acc *account, n int64) {
	acc.lent += n
	c.lent += n
	c.level -= float64(n)
	o.counts.Lent += n
}

// wait returns how long it takes until there have been tokens for all requests up to a class that
// wait or were refused.
func (c *customer) wait(class int, total float64) time.Duration {
	need := max(c.cap.reserved(class)-total, -c.level) + 1
	for k := range class + 1 {
		need += float64(c.unmet[k])
	}
	if c.cap.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, max(0, time.Duration(need/c.cap.Rate*float64(time.Second))))
}

// drop takes the accounts of a holder out of the buckets. Its tokens are gone since at.
func (o *Owner) drop(r *record, at time.Time) {
	for name, acc := range r.accounts {
		c := o.customers[name]
		c.fill(o, at) // without the room that the tokens leave: they may have been spent just before
		c.lent -= acc.outstanding()
		c.deficit -= acc.deficit
		for k := range classes {
			c.unmet[k] -= acc.unmet[k]
		}
	}
	clear(r.accounts)
}

// sweep drops loans that have ended.
func (o *Owner) sweep(now time.Time) {
	if now.Before(o.nextSweep) {
		return
	}
	o.nextSweep = now.Add(sweepInterval)
	for id, r := range o.holders {
		if !now.Before(r.until) {
			o.drop(r, r.until)
		}
		if now.Sub(r.until) > recordLife {
			delete(o.holders, id)
		}
	}
}

// gap returns the least time between two Asks of a holder for stocks.
func (o *Owner) gap() time.Duration {
	return min(maxGap, max(minGap, time.Duration(len(o.holders))*time.Second/asksPerSecond))
}
