package ctrl

import (
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/state"
)

// Option configures a Node.
type Option func(*Node)

// WithName sets the name of the instance.
func WithName(name string) Option { return func(n *Node) { n.name = name } }

// WithZone sets the availability zone.
func WithZone(zone string) Option { return func(n *Node) { n.zone = zone } }

// WithInitial sets the addresses of the members that bootstrap the log, with
// that of this one.
func WithInitial(addrs ...string) Option { return func(n *Node) { n.initial = addrs } }

// WithPassword sets the password of the control role at backend servers.
func WithPassword(p string) Option { return func(n *Node) { n.password = p } }

// WithDial sets how other instances are reached.
func WithDial(d DialFunc) Option { return func(n *Node) { n.dial = d } }

// WithLog sets the log.
func WithLog(l zerolog.Logger) Option { return func(n *Node) { n.log = l } }

// WithPublish sets who hears of each change of the state. It must not block.
func WithPublish(f func(state.Delta)) Option { return func(n *Node) { n.publish = f } }

// WithRestore sets who hears when the state is replaced as a whole.
func WithRestore(f func(*state.View)) Option { return func(n *Node) { n.restore = f } }

// WithClock sets the clock. It must run on while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(n *Node) { n.now = now } }

// WithLedger applies the log to l instead of the state machine of the fleet,
// and leaves the duties of a leader to the caller.
func WithLedger(l Ledger) Option {
	return func(n *Node) {
		n.ledger = l
		n.leader = func(n *Node) duties { return upkeep{n} }
	}
}

// WithOpenMembership lets every member that introduces itself join, and lets the
// leader remove silent voters while that keeps the number of voters odd.
func WithOpenMembership() Option { return func(n *Node) { n.open = true } }

// WithoutForming keeps a member with an empty data folder from bootstrapping a
// new log: it waits until the members of the existing one add it.
func WithoutForming() Option { return func(n *Node) { n.forms = false } }
