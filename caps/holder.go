package caps

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Holder spends the tokens of one instance.
type Holder struct {
	name     string
	run      uint64
	number   uint64 // of the last Ask
	answered uint64 // number of the newest Ask that was answered
	epoch    uint32
	term     uint64    // of the owner for which it counts
	until    time.Time // the loans end; zero if there are none
	version  uint64    // of the configuration
	gap      time.Duration
	askedAt  time.Time
	stocks   map[string]*stock // by customer
	names    []string          // their keys, in order
	urgent   bool              // a request waits for the next Ask
	low      bool              // a stock is low
	changed  bool              // the owner does not know all that was spent
	holds    bool              // it has had tokens since the last Ask, or still has
	refusals uint64
}

// stock is what a holder has of the tokens of a customer.
type stock struct {
	capped   bool
	cap      Cap
	tokens   int64
	depth    float64 // of the bucket from which tokens were lent, where it was deeper than by cap, else 0
	claim    int64   // of tokens when the holder began to count for the owner
	received int64   // since then, the claim included
	gone     int64   // spent or dropped since then
	returned int64   // given back since then
	covered  int64   // claim, and what was spent of loans of former owners without telling them
	told     told    // what the owner may know
	reported int64   // gone and returned, in the newest Ask that was answered
	known    bool    // the owner has answered an Ask with this account

	want     int64              // tokens that it should have
	idle     bool               // no request is expected soon
	askAgain time.Time          // when to ask again for an idle stock that the owner had no tokens for
	lastUse  time.Time          // of the last request
	tried    int                // requests since the last Ask
	demand   float64            // requests per second, smoothed
	waiting  [classes]int       // requests that wait for an Ask
	refused  [classes]int       // requests refused since the last Ask
	toldAt   time.Time          // of the last word of the owner
	admit    int                // lowest class that may spend, as the owner said then
	blocked  [classes]time.Time // requests without a token are refused before this time
	comeback [classes]time.Time // when there will have been tokens for all that were refused
}

// told is what a holder said in its last Ask of a customer. It says the same again until it is
// answered, so that what it spends meanwhile is known not to be known to the owner.
type told struct {
	number         uint64
	gone, returned int64
}

const (
	// horizon is the time for which a stock lasts: an election, the wait of a new owner and a
	// few Asks.
	horizon = 2 * time.Second
	// keepIdle is how long after the last request a holder keeps a token.
	keepIdle = 15 * time.Second
	// idleAskInterval is the time between Asks for an idle stock.
	idleAskInterval = 2 * time.Second
	// idleNeed is the number of tokens needed within the horizon below which a stock is idle.
	idleNeed = 0.5
	// demandTime is the time constant of the demand.
	demandTime = 2 * time.Second
	// reportInterval is how long a holder may keep to itself what was spent.
	reportInterval = time.Second
	// renewInterval is the time between Asks of a holder that has loans.
	renewInterval = LoanLife / 4
	// admitLife is how long the word of the owner on the classes that may spend is in force.
	admitLife = time.Second
	// defaultWait is the time of return while the owner is not known to have tokens: about that
	// of an election.
	defaultWait = 500 * time.Millisecond
	// blockTime and topBlockTime are how long requests of a customer without tokens are refused
	// without another Ask; topBlockTime is that of the highest class.
	blockTime    = 200 * time.Millisecond
	topBlockTime = 50 * time.Millisecond
	// urgentGap is the least time between two Asks.
	urgentGap = 10 * time.Millisecond
)

// Outcome says what becomes of a request.
type Outcome uint8

// The outcomes.
const (
	Taken   Outcome = iota // it may be sent within SendWithin
	Waiting                // it has to wait for the answer to an Ask, and then for Settle
	Refused                // it must not be sent
)

// Verdict is the answer to a request.
type Verdict struct {
	Outcome    Outcome
	Ask        uint64        // if Waiting: number of the first Ask whose answer tells
	RetryAfter time.Duration // if Refused: when there will be a token
}

// NewHolder returns the Holder of an instance. run differs after each restart.
func NewHolder(name string, run uint64) *Holder {
	return &Holder{name: name, run: run, gap: minGap, stocks: make(map[string]*stock)}
}

// SetCaps puts the caps of a configuration in force. Customers that are not in it are not
// capped. Stocks above a lower cap shrink at once, each by the same part, so that all of them
// together are within it wherever the owner is.
func (h *Holder) SetCaps(version uint64, caps map[string]Cap) {
	if version <= h.version {
		return
	}
	h.version = version
	for name, s := range h.stocks {
		limit, ok := caps[name]
		if !ok {
			s.drop(s.tokens)
		} else if depth := max(s.cap.Depth, s.depth); s.capped && limit.Depth < depth {
			s.shrink(limit.Depth / depth)
		}
		s.capped, s.cap, s.depth = ok, limit, 0
	}
	for name, limit := range caps {
		if h.stocks[name] == nil {
			h.stocks[name] = &stock{capped: true, cap: limit, admit: classes - 1}
		}
	}
	h.names = slices.Sorted(maps.Keys(h.stocks))
}

func (s *stock) drop(n int64) {
	s.tokens -= n
	s.gone += n
}

// shrink drops all but a part of the tokens. What they cover for a next owner shrinks as well.
func (s *stock) shrink(part float64) {
	s.drop(s.tokens - int64(float64(s.tokens)*part))
	counted := s.counted()
	s.told.gone += counted - int64(float64(counted)*part)
}

// counted returns how many tokens the owner counts the holder to have, at least.
func (s *stock) counted() int64 { return s.received - s.told.gone - s.told.returned }

// Take takes a token for a request of a customer with the priority of its route, of which 0 is the
// highest.
func (h *Holder) Take(customer string, priority int, now time.Time) Verdict {
	s := h.stocks[customer]
	if s == nil || !s.capped {
		return Verdict{}
	}
	if !now.Before(h.until) {
		h.expire()
	}
	class := classOf(priority)
	s.tried++
	s.lastUse = now
	held := class > s.admit && now.Sub(s.toldAt) < admitLife
	if !held && h.spend(s, class) {
		return Verdict{}
	}
	h.low = true
	if held || now.Before(s.blocked[class]) {
		return h.refuse(s, class, now)
	}
	s.waiting[class]++
	h.urgent = true
	return Verdict{Outcome: Waiting, Ask: h.number + 1}
}

// spend takes a token unless requests of higher classes wait for it.
func (h *Holder) spend(s *stock, class int) bool {
	need := int64(1)
	for k := range class {
		need += int64(s.waiting[k])
	}
	if s.tokens < need {
		return false
	}
	s.tokens--
	s.gone++
	h.changed = true
	if 2*s.tokens < s.want {
		h.low = true
	}
	return true
}

func (h *Holder) refuse(s *stock, class int, now time.Time) Verdict {
	s.refused[class]++
	h.refusals++
	return Verdict{Outcome: Refused, RetryAfter: h.retryAfter(s, class, now)}
}

// goldenFraction spreads the times of return evenly, however many there are.
const goldenFraction = 0.6180339887

// retryAfter returns when a refused request should come back. The requests that were refused
// spread over the time that the bucket needs for all of them.
func (h *Holder) retryAfter(s *stock, class int, now time.Time) time.Duration {
	least := maxWait
	if s.cap.Rate > 0 {
		least = min(maxWait, time.Duration(float64(time.Second)/s.cap.Rate))
	}
	wait := s.comeback[class].Sub(now)
	if wait <= 0 {
		return max(least, defaultWait)
	}
	_, part := math.Modf(float64(h.refusals) * goldenFraction)
	return max(least, time.Duration(part*float64(wait)))
}

// Stocks returns the tokens of all customers that the holder has, and those that it wants.
func (h *Holder) Stocks() (tokens, wanted int64) {
	for _, s := range h.stocks {
		tokens += s.tokens
		wanted += s.want
	}
	return tokens, wanted
}

// Answered reports whether the answer to an Ask, or to a later one, has been applied.
func (h *Holder) Answered(number uint64) bool { return h.answered >= number }

// Settle decides about a request that was Waiting: its Ask was answered, or it cannot wait any
// longer.
func (h *Holder) Settle(customer string, priority int, now time.Time) Verdict {
	s, class := h.stocks[customer], classOf(priority)
	s.waiting[class] = max(0, s.waiting[class]-1)
	if !s.capped {
		return Verdict{}
	}
	if !now.Before(h.until) {
		h.expire()
	}
	if h.spend(s, class) {
		return Verdict{}
	}
	return h.refuse(s, class, now)
}

// NextAsk returns when the next Ask is due, or the zero time if none is until then.
func (h *Holder) NextAsk() time.Time {
	switch {
	case h.urgent:
		return h.askedAt.Add(urgentGap)
	case h.low:
		return h.askedAt.Add(h.gap)
	case h.changed:
		return h.askedAt.Add(max(h.gap, reportInterval))
	case h.holds:
		return h.askedAt.Add(renewInterval)
	}
	return time.Time{}
}

// Ask returns the next message to the owner. Tokens that it gives back cannot be spent any more.
func (h *Holder) Ask(now time.Time) Ask {
	if !now.Before(h.until) {
		h.expire()
	}
	since, unanswered := now.Sub(h.askedAt), h.number > h.answered
	h.number++
	h.askedAt, h.urgent, h.low, h.changed, h.holds = now, false, false, false, false
	a := Ask{Holder: h.name, Run: h.run, Number: h.number, Epoch: h.epoch, Term: h.term, Version: h.version}
	for _, name := range h.names {
		s := h.stocks[name]
		s.measure(since, now)
		if !unanswered {
			s.giveBack()
		}
		h.holds = h.holds || s.tokens > 0
		unmet := s.unmet()
		if !s.worthAsking(unmet, now) {
			continue
		}
		if !unanswered {
			s.told = told{gone: s.gone, returned: s.returned}
		}
		s.told.number = h.number
		a.Items = append(a.Items, AskItem{
			Customer: name, Claim: s.claim, Covered: s.covered, Gone: s.told.gone, Returned: s.told.returned,
			Want: s.want, Idle: s.idle, Unmet: unmet,
		})
	}
	return a
}

// worthAsking reports whether the owner does not know all that it should of the stock, or may
// have tokens for it.
func (s *stock) worthAsking(unmet [classes]int, now time.Time) bool {
	wants := s.tokens < s.want && !(s.idle && now.Before(s.askAgain))
	if unmet != [classes]int{} || wants {
		return true
	}
	if !s.known {
		return s.covered > 0
	}
	return s.gone+s.returned != s.reported
}

// unmet returns the requests that wait or were refused, and forgets the latter.
func (s *stock) unmet() [classes]int {
	out := s.waiting
	for k := range classes {
		out[k] += s.refused[k]
	}
	s.refused = [classes]int{}
	return out
}

// measure updates the demand and what the holder should have.
func (s *stock) measure(since time.Duration, now time.Time) {
	if since > 0 {
		weight := min(1, float64(since)/float64(demandTime))
		s.demand += weight * (float64(s.tried)/since.Seconds() - s.demand)
	}
	s.tried = 0
	need := s.demand * horizon.Seconds()
	s.want, s.idle = int64(math.Ceil(need)), false
	if need < idleNeed {
		s.want, s.idle = 0, true
		if s.capped && !s.lastUse.IsZero() && now.Sub(s.lastUse) <= keepIdle {
			s.want = 1
		}
	}
	for _, n := range s.waiting {
		s.want += int64(n)
	}
}

// giveBack gives back tokens that the holder does not need.
func (s *stock) giveBack() {
	if s.idle || s.tokens > 2*s.want+1 {
		n := max(0, s.tokens-s.want)
		s.tokens -= n
		s.returned += n
	}
}

// Apply applies the answer to an Ask that was sent at askedAt. It reports whether another Ask
// should follow at once.
func (h *Holder) Apply(g *Grant, askedAt, now time.Time) bool {
	if !h.until.IsZero() && !now.Before(h.until) {
		h.expire()
	}
	switch {
	case g.State == Recount && g.Term > h.term:
		h.recount(g.Term)
		h.urgent = true
		return true
	case g.Term != h.term || g.Epoch != h.epoch || g.Number <= h.answered:
		return false
	case g.State == Expired:
		h.dropAll()
		h.urgent = true
		return true
	case g.State != Granted || !now.Before(askedAt.Add(LoanLife)):
		return false
	}
	h.answered, h.gap = g.Number, g.Gap
	if until := askedAt.Add(LoanLife); until.After(h.until) {
		h.until = until
	}
	for i := range g.Items {
		if s := h.stocks[g.Items[i].Customer]; s != nil {
			h.receive(s, &g.Items[i], g, now)
		}
	}
	return false
}

// receive adds the tokens that a Grant lends of a customer.
func (h *Holder) receive(s *stock, in *GrantItem, g *Grant, now time.Time) {
	if s.tokens == 0 {
		s.depth = 0
	}
	if n := in.Lent - s.received; n > 0 {
		kept := min(n, in.Lent-in.Void)
		if depth := float64(in.Depth); !s.capped || g.Version < h.version && depth > s.cap.Depth {
			kept = 0 // the owner does not know the lower cap yet
		} else if depth > math.Ceil(s.cap.Depth) {
			s.depth = max(s.depth, depth)
		}
		s.received = in.Lent
		s.tokens += kept
		s.gone += n - kept
		h.changed = h.changed || kept < n
	}
	s.known = true
	if s.told.number == g.Number {
		s.reported = s.told.gone + s.told.returned
	}
	h.holds = h.holds || s.tokens > 0
	if s.idle && s.tokens < s.want {
		s.askAgain = now.Add(idleAskInterval)
	}
	s.admit, s.toldAt = in.Admit, now
	for k, wait := range in.Wait {
		limit := blockTime
		if k == 0 {
			limit = topBlockTime
		}
		s.blocked[k], s.comeback[k] = now.Add(min(limit, wait)), now.Add(wait)
	}
}

// expire drops all tokens if there are loans, because they have ended.
func (h *Holder) expire() {
	if !h.until.IsZero() {
		h.dropAll()
	}
}

// dropAll drops all tokens and begins to count anew.
func (h *Holder) dropAll() {
	h.until, h.holds = time.Time{}, false
	h.epoch++
	for _, s := range h.stocks {
		s.tokens = 0
		s.restart(0)
	}
}

// recount begins to count for the owner of a term. It claims the tokens that the holder has. The
// owner before counted those as lent that it was not told of.
func (h *Holder) recount(term uint64) {
	h.term = term
	for _, s := range h.stocks {
		s.restart(s.counted())
	}
}

func (s *stock) restart(covered int64) {
	s.claim, s.covered, s.received = s.tokens, covered, s.tokens
	s.gone, s.returned, s.reported, s.told, s.known = 0, 0, 0, told{}, false
}
