package promo

import (
	"time"

	"tamarackcross/group"
)

// Health is what an entry observes of a member.
type Health uint8

// The observations of entries.
const (
	// Reachable members answer. A primary also confirms commits.
	Reachable Health = iota
	// Unreachable members do not answer.
	Unreachable
	// Stalled members answer but confirm no commits: they cannot gather a
	// majority or do not act as primary of their term.
	Stalled
)

// Event is an input of a Machine. It is one of the types of this file.
type Event interface{ event() }

// Report is the opinion of an entry about a member. Each entry repeats its
// reports several times within the detection timeout.
type Report struct {
	Instance string
	Zone     string // of the entry
	Member   string
	At       time.Time // of the observation, in the time of the control instance
	Health   Health
	Term     uint64         // in which the member acts, 0 if unknown
	Position group.Position // held by the member
	Idle     bool           // a replica that replicates from nobody
}

// ZoneLive is the number of live entries in a zone.
type ZoneLive struct {
	Zone  string
	Count int
}

// Live replaces the knowledge of live entries. It is repeated regularly: zones
// are only added shortly after a start or a pause.
type Live struct{ Zones []ZoneLive }

// Members replaces the registered members of the database.
type Members struct{ List []Member }

// Begun reports that the intent to start Term was logged.
type Begun struct{ Term uint64 }

// FenceResult answers Fence. Seen is the highest term that the member knows.
type FenceResult struct {
	Member   string
	Term     uint64
	Seen     uint64
	Store    string
	Position group.Position
	Err      error
}

// Completed reports that the primary of Term was logged.
type Completed struct {
	Term    uint64
	Primary string
	History group.History
}

// PromoteResult answers Promote. Seen is the highest term that the member knows.
type PromoteResult struct {
	Member string
	Term   uint64
	Seen   uint64
	Err    error
}

// FollowResult answers Follow.
type FollowResult struct {
	Member string
	Term   uint64
	Err    error
}

// Switch asks for a planned change of primary. An empty To leaves the choice
// to the machine.
type Switch struct{ To string }

// Confirmed answers Confirm: a majority round that started after the action
// showed that this instance still leads control.
type Confirmed struct{}

// Tick lets time pass.
type Tick struct{}

func (Report) event()        {}
func (Live) event()          {}
func (Members) event()       {}
func (Begun) event()         {}
func (FenceResult) event()   {}
func (Completed) event()     {}
func (PromoteResult) event() {}
func (FollowResult) event()  {}
func (Switch) event()        {}
func (Confirmed) event()     {}
func (Tick) event()          {}

// Action is an output of a Machine. It is one of the types of this file.
type Action interface{ action() }

// ProposeBegin logs the intent to start Term. The log accepts it only if Term
// is above every term that was begun or completed.
type ProposeBegin struct{ Term uint64 }

// Fence stops commits and replication of lower terms at a member.
type Fence struct {
	Member string
	Term   uint64
}

// ProposeComplete logs the primary of Start.Term. The log accepts it only if
// Start.Term is the newest begun term and has not been completed.
type ProposeComplete struct {
	Primary string
	Start   group.Start
	History group.History
}

// Promote makes a member primary of its logged term. Repeating it changes
// nothing. It must not reach a member whose store is not Store: a primary that
// lost its data would start its term again and reuse its positions.
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

// SwitchDropped reports that a planned switch was given up, because its target
// did not catch up in time or cannot become primary.
type SwitchDropped struct{ To string }

// Confirm asks for a majority round that shows that this instance still leads
// control. Until Confirmed, nothing else is done.
type Confirm struct{}

func (ProposeBegin) action()    {}
func (Fence) action()           {}
func (ProposeComplete) action() {}
func (Promote) action()         {}
func (Follow) action()          {}
func (SwitchDropped) action()   {}
func (Confirm) action()         {}
