// Package caps limits how many operations of a customer all instances together send to
// backend servers. An Owner, of which there is one at a time, keeps one token bucket for each
// customer and lends its tokens to the instances. A Holder runs at each instance and spends
// the tokens that it has, one for each operation.
//
// # Safety
//
// A token is at one place at a time: in the bucket of the owner, or lent to a holder. The
// bucket gains tokens only while all tokens that exist, those that may be lent included, are
// fewer than its depth. In any window W, holders therefore spend at most depth + rate x W
// tokens, wherever they are and whichever messages arrive. What a holder says of its tokens
// is cumulative, so that lost, late and repeated messages change nothing.
//
// Loans end LoanLife after the holder asked for them, by its clock, and a little later by the
// clock of the owner. A token that was lent to a holder which crashed comes back to nobody: the
// bucket fills again at its rate.
//
// # Owners
//
// An owner lends only for confirmLife after a majority last confirmed it. The owner of a later
// term does not know what the former one has lent: it reserves room for all of it, until holders
// claim what they have or their loans have ended, and lets its buckets fill only once the
// former owner cannot lend any more.
//
// The types hold no clock and are not safe for concurrent use. All times come from clocks that
// advance while a machine is suspended and whose rates differ from true time by at most 1%.
package caps

import "time"

const (
	// LoanLife is how long a holder may spend its tokens after the request that the owner last
	// answered. It covers several elections.
	LoanLife = 5 * time.Second
	// loanMargin is how much longer an owner counts a loan, for clocks that run at different
	// rates.
	loanMargin = LoanLife * 3 / 100
	// confirmLife is how long an owner lends after a majority last confirmed it: five heartbeats.
	confirmLife = 300 * time.Millisecond
	// confirmMargin is how much longer the next owner waits.
	confirmMargin = confirmLife * 3 / 100
	// unknownLife is how long an owner reserves room for the loans of former owners.
	unknownLife = confirmLife + confirmMargin + LoanLife + loanMargin
	// SendWithin is how long after a token was taken its operation may be sent.
	SendWithin = 300 * time.Millisecond
	// sendMargin is SendWithin and the time for which an operation may be under way between
	// two instances.
	sendMargin = 500 * time.Millisecond
	// clockError is the largest error of the rate of a clock.
	clockError = 0.01
)

// Bound is what a deployment tolerates: in each window a customer may send (rate x window +
// burst) x (1 + excess) + slack operations. The zero Bound caps nothing.
type Bound struct {
	Window time.Duration
	Excess float64 // fraction
	Slack  float64 // operations
}

// Most returns the largest number of operations of a customer in a window. rate is in
// operations per second and burst in operations.
func (b Bound) Most(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Excess) + b.Slack
}

// Cap is the token bucket of a customer.
type Cap struct {
	Rate  float64 // tokens per second
	Depth float64 // most tokens that exist at a time
	span  float64 // seconds by whose gain the depth is below the bound
}

// minDepthFraction is the least part of the operations of a window that the depth of a bucket
// gets.
const minDepthFraction = 0.1

// Cap returns the bucket that keeps a customer within the bound. What the bound leaves beyond
// the rate is depth: instances need it to have tokens at hand.
func (b Bound) Cap(rate, burst float64) Cap {
	span := (b.Window + sendMargin).Seconds() * (1 + clockError)
	most := b.Most(rate, burst)
	least := min(most, max(1, most*minDepthFraction))
	return Cap{Rate: min(rate, (most-least)/span), Depth: max(least, most-rate*span), span: span}
}

// classes is the number of priority classes. Requests of the lowest one are the first to be
// refused.
const classes = 3

// classOf returns the class of a priority, of which 0 is the highest.
func classOf(priority int) int { return min(max(priority, 0), classes-1) }

// reserved returns how many tokens of a bucket are kept for classes above the given one.
func (c Cap) reserved(class int) float64 { return c.Depth * float64(class) / 10 }

const (
	// lentPart is the part of the depth that an owner may lend. The one that follows can use the
	// rest at once.
	lentPart = 0.75
	// idlePart is the part that may be lent for stocks that are idle.
	idlePart = 0.5
	// waitRoom is how many tokens stocks leave for requests that wait, in small buckets.
	waitRoom = 6
)

// Ask is the message of a holder to the owner. Amounts of its items are cumulative since the
// holder began to count for the owner of Term.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Run     uint64 // differs after each restart of the holder
	Number  uint64 // increases with each Ask of a run
	Epoch   uint32 // increases whenever the holder has dropped its tokens because its loans ended
	Term    uint64 // of the owner for which the holder counts, or 0
	Version uint64 // of the configuration in force at the holder
	Items   []AskItem
}

// AskItem is the part of an Ask that concerns a customer.
type AskItem struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Claim    int64        // tokens that the holder had when it began to count
	Covered  int64        // Claim, and what it had spent of loans without telling the owner before
	Gone     int64        // tokens spent or dropped
	Returned int64        // tokens given back
	Want     int64        // tokens that the holder should have
	Idle     bool         // it does not expect to need them soon
	Unmet    [classes]int // requests by class that wait, or have been refused since the last Ask
}

// State says what a Grant is.
type State uint8

// The states.
const (
	Silent  State = iota // the instance is not the owner, or the Ask is outdated: nothing changes
	Granted              // loans
	Recount              // the holder has to count for the owner of the term
	Expired              // the loans of the holder have ended
)

// Grant is the answer of the owner to an Ask.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	State   State
	Term    uint64
	Number  uint64        // of the Ask
	Epoch   uint32        // of the Ask
	Version uint64        // of the configuration by which the owner lends
	Gap     time.Duration // least time between two Asks for stocks
	Items   []GrantItem
}

// GrantItem is the part of a Grant that concerns a customer.
type GrantItem struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Lent     int64                  // all tokens lent since the holder began to count, its claim included
	Void     int64                  // of these, to be dropped unless received before
	Depth    int64                  // of the bucket, rounded up
	Admit    int                    // lowest class that may spend tokens now; -1 for none
	Wait     [classes]time.Duration // if tokens are short: until there will be one for all that wait or were refused
}
