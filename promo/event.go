package promo

import (
	"time"

	"tamarackcross/group"
)

// Health is the health of a member as observed by an entry.
type Health uint8

// Values of Health.
const (
	// Reachable means that the member answers. If it is the primary, it also
	// confirms commits.
	Reachable Health = iota
	// Unreachable means that the member does not answer.
	Unreachable
	// Stalled means that the member answers but confirms no commits, because it
	// reaches no majority or does not act as the primary of its term.
	Stalled
)

// Event is an input of a Machine, such as a Report or the result of an Action.
type Event interface{ event() }

// Report is what an entry observed of a member. Each entry repeats its reports
// several times within the report TTL.
type Report struct {
	Instance       string
	Zone           string // of the entry
	Member         string
	At             time.Time // of the observation, by the clock of the control instance
	Health         Health
	Term           uint64         // in which the member is a primary or replica, 0 if unknown
	Position       group.Position // newest position that the member holds
	NotReplicating bool           // the member replicates from no primary and is none itself
}

// ZoneEntries is the number of live entries in a zone.
type ZoneEntries struct {
	Zone  string
	Count int
}

// LiveEntries lists the zones with live entries and replaces the former list. It is
// sent regularly. Shortly after a start or a pause it only adds zones.
type LiveEntries struct{ Zones []ZoneEntries }

// Members replaces the registered members of the database.
type Members struct{ List []Member }

// Begun reports that the control log accepted ProposeBegin for Term.
type Begun struct{ Term uint64 }

// FenceResult is the outcome of Fence.
type FenceResult struct {
	Member      string
	Term        uint64
	HighestTerm uint64         // highest term that the member knows
	Store       string         // ID of the data that the member has now
	Position    group.Position // newest position that the member holds
	Err         error
}

// Completed reports that the control log accepted ProposeComplete for Term.
type Completed struct {
	Term    uint64
	Primary string
	History group.History
}

// PromoteResult is the outcome of Promote.
type PromoteResult struct {
	Member      string
	Term        uint64
	HighestTerm uint64 // highest term that the member knows
	Err         error
}

// FollowResult is the outcome of Follow.
type FollowResult struct {
	Member string
	Term   uint64
	Err    error
}

// Switch requests a planned switchover to the member To. If To is empty, the
// Machine chooses the member.
type Switch struct{ To string }

// Confirmed is the outcome of Confirm: a majority round that started after the
// action showed that this instance still leads control.
type Confirmed struct{}

// Tick reports that time has passed.
type Tick struct{}

func (Report) event()        {}
func (LiveEntries) event()   {}
func (Members) event()       {}
func (Begun) event()         {}
func (FenceResult) event()   {}
func (Completed) event()     {}
func (PromoteResult) event() {}
func (FollowResult) event()  {}
func (Switch) event()        {}
func (Confirmed) event()     {}
func (Tick) event()          {}

// Action is an output of a Machine, to be carried out by its caller.
type Action interface{ action() }

// ProposeBegin proposes to the control log that Term begins. The log accepts it
// only if Term is above every term that was begun or completed.
type ProposeBegin struct{ Term uint64 }

// Fence makes a member refuse commits and replication of terms below Term.
type Fence struct {
	Member string
	Term   uint64
}

// ProposeComplete proposes the primary of Start.Term to the control log. The log
// accepts it only if Start.Term is the newest begun term and not completed.
type ProposeComplete struct {
	Primary string
	Start   group.TermStart
	History group.History
}

// Promote makes a member the primary of Term, as logged. It is idempotent. It
// must not be applied to a member whose store differs from Store: a primary that
// lost its data would start the term again and assign its positions twice.
type Promote struct {
	Member  string
	Term    uint64
	Store   string
	History group.History
}

// Follow makes a member replicate from the primary of Term at Address.
type Follow struct {
	Member  string
	Term    uint64
	Address string
}

// SwitchDropped reports that a planned switchover was cancelled because its
// target did not catch up in time or cannot become primary.
type SwitchDropped struct{ To string }

// Confirm requests a majority round that shows that this instance still leads
// control. The Machine returns no other action until Confirmed arrives.
type Confirm struct{}

func (ProposeBegin) action()    {}
func (Fence) action()           {}
func (ProposeComplete) action() {}
func (Promote) action()         {}
func (Follow) action()          {}
func (SwitchDropped) action()   {}
func (Confirm) action()         {}
