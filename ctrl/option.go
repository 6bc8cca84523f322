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

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(n *Node) { n.zone = zone } }

// WithInitialMembers sets the addresses of the initial members, which bootstrap the
// log. This member is one of them if its own address is listed.
func WithInitialMembers(addrs ...string) Option { return func(n *Node) { n.initial = addrs } }

// WithPassword sets the password of the control role at backend servers.
func WithPassword(p string) Option { return func(n *Node) { n.password = p } }

// WithDial sets the function that opens connections to other instances and to
// backend servers.
func WithDial(d DialFunc) Option { return func(n *Node) { n.dial = d } }

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(n *Node) { n.log = l } }

// WithPublish sets the function that is called with each change of the state. It
// must not block.
func WithPublish(f func(state.Delta)) Option { return func(n *Node) { n.publish = f } }

// WithRestore sets the function that is called when a snapshot replaces the state.
func WithRestore(f func(*state.View)) Option { return func(n *Node) { n.restore = f } }

// WithClock sets the clock. It must advance while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(n *Node) { n.now = now } }

// WithLedger applies the log to l instead of state.Machine. The leader then does
// nothing but change the membership of the log; other duties are left to the
// program that uses the Node.
func WithLedger(l Ledger) Option {
	return func(n *Node) {
		n.ledger = l
		n.newDuties = func(n *Node) leaderDuties { return membershipDuties{n} }
	}
}

// WithOpenMembership adds every member that introduces itself, and lets the leader
// remove voters that are not needed and are silent or leave.
func WithOpenMembership() Option { return func(n *Node) { n.openMembership = true } }

// WithDiskLosses sets how many members may lose their disks at the same time. The log keeps at least as many voters as
// that takes, if there are so many members. The default is 1.
func WithDiskLosses(n int) Option {
	return func(node *Node) { node.neededVoters = max(minOddVoters, 2*n+1) }
}

// WithoutBootstrap tells that the deployment does not start for the first time. A member whose data directory is empty then
// waits until the members of an existing log add it, unless most of the initial ones were there at the first start and
// know no log either.
func WithoutBootstrap() Option { return func(n *Node) { n.mayBootstrap = false } }
