package state

import (
	"time"

	"tamarackcross/fleet"
	"tamarackcross/group"
)

// Command is one entry of the control log.
type Command interface{ command() }

// ApplyConfig makes Document the next version of the configuration, if Base is
// the version in force. ID identifies the change when it is sent again.
type ApplyConfig struct {
	ID       string
	Base     uint64
	Document []byte // YAML of package fleet
	Author   string
	At       time.Time // time of the proposal, in whole milliseconds
}

// NewApplyConfig returns the command for a document that package fleet has
// checked. The machine does not check the content: releases with other rules
// would disagree about the result while an upgrade is in progress.
func NewApplyConfig(id string, base uint64, doc *fleet.Document, author string, at time.Time) ApplyConfig {
	return ApplyConfig{ID: id, Base: base, Document: doc.YAML(), Author: author, At: at.Truncate(time.Millisecond)}
}

// RegisterInstance adds an instance or replaces its registration.
type RegisterInstance struct{ Instance Instance }

// RemoveInstance removes an instance, if it still has the incarnation.
type RemoveInstance struct {
	Instance    string
	Incarnation uint64
}

// Announce adds a member to a database or renews its data. It creates the
// database when it is the first.
type Announce struct {
	Database    string
	Member      string
	Incarnation uint64
	Store       string
	Zone        string
	Address     string
	Slots       uint32
	Connections uint32
}

// Leave marks a member as leaving until a higher incarnation announces itself.
type Leave struct {
	Database    string
	Member      string
	Incarnation uint64
}

// Expire marks a member as gone, if it still has the incarnation.
type Expire struct {
	Database    string
	Member      string
	Incarnation uint64
}

// BeginPromotion records the intent to start NewTerm. It is refused unless
// ExpectedTerm is the highest term begun so far.
type BeginPromotion struct {
	Database     string
	ExpectedTerm uint64
	NewTerm      uint64
}

// CompletePromotion makes Primary the primary of the begun term. StartOffset is
// the clipped position at which the term starts.
type CompletePromotion struct {
	Database    string
	Term        uint64
	Primary     string
	StartOffset uint64
}

// MarkCaughtUp lets a member count in majorities with its store, and makes a
// member that is not a voter one. Position is where it caught up.
type MarkCaughtUp struct {
	Database string
	Member   string
	Store    string
	Position group.Position
}

// BootstrapGroup gives a database whose members announced themselves its first
// history, primary and voters.
type BootstrapGroup struct {
	Database string
	Primary  string
	History  group.History
	Voters   []string
}

// RetireMember takes a member that is gone or leaving out of the voters. It is
// refused unless Term is the term in force.
type RetireMember struct {
	Database string
	Member   string
	Term     uint64
}

// Rebalance moves the members of a zone to the owners that rendezvous hashing
// over all live instances gives. Members otherwise move only when their owner
// is gone.
type Rebalance struct{ Zone string }

func (ApplyConfig) command()       {}
func (RegisterInstance) command()  {}
func (RemoveInstance) command()    {}
func (Announce) command()          {}
func (Leave) command()             {}
func (Expire) command()            {}
func (BeginPromotion) command()    {}
func (CompletePromotion) command() {}
func (MarkCaughtUp) command()      {}
func (BootstrapGroup) command()    {}
func (RetireMember) command()      {}
func (Rebalance) command()         {}

// Result is what a command did.
type Result interface{ result() }

// Done is the result of a command that was carried out. Changed is false when
// the state held all of it before.
type Done struct{ Changed bool }

// ConfigAccepted is the result of a change that made Version.
type ConfigAccepted struct {
	ID      string
	Version uint64
}

// ConfigConflict is the result of a change whose base was not the version in
// force. Winner is the change that was made on the same base, or the newest
// change when that one is no longer known.
type ConfigConflict struct {
	ID      string
	Base    uint64
	Current uint64
	Winner  ConfigChange
}

// ConfigChange names an accepted change.
type ConfigChange struct {
	ID      string
	Version uint64
	Author  string
}

// Refused is the result of a command that changed nothing.
type Refused struct {
	Reason Reason
	Detail string
}

// Reason says why a command was refused.
type Reason string

// The reasons of Refused.
const (
	ReasonInvalid          Reason = "invalid"           // a field is empty, too long or malformed
	ReasonOldIndex         Reason = "old_index"         // the log entry was applied before
	ReasonTooManyChanges   Reason = "too_many_changes"  // the table of remembered changes is full of recent ones
	ReasonIDReused         Reason = "id_reused"         // the identifier belongs to a change with other content
	ReasonOldIncarnation   Reason = "old_incarnation"   // a newer incarnation is known
	ReasonWrongIncarnation Reason = "wrong_incarnation" // the incarnation is not the one known
	ReasonStoreChanged     Reason = "store_changed"     // the store changed within one incarnation
	ReasonUnknownInstance  Reason = "unknown_instance"
	ReasonUnknownDatabase  Reason = "unknown_database"
	ReasonUnknownMember    Reason = "unknown_member"
	ReasonTooManyMembers   Reason = "too_many_members"
	ReasonTooManyDatabases Reason = "too_many_databases"
	ReasonTooManyInstances Reason = "too_many_instances"
	ReasonBootstrapped     Reason = "bootstrapped"     // the group has its first term already
	ReasonNotBootstrapped  Reason = "not_bootstrapped" // the group has no term yet
	ReasonTermMoved        Reason = "term_moved"       // the expected term is not the one in force
	ReasonPromoting        Reason = "promoting"        // a promotion is in progress
	ReasonNotVoter         Reason = "not_voter"        // the member does not count in majorities
	ReasonWrongStore       Reason = "wrong_store"      // the store is not the one announced
	ReasonInUse            Reason = "in_use"           // the member is primary, or neither gone nor leaving
)

func (Done) result()           {}
func (ConfigAccepted) result() {}
func (ConfigConflict) result() {}
func (Refused) result()        {}
