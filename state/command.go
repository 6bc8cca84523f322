package state

import (
	"time"

	"tamarackcross/fleet"
	"tamarackcross/group"
)

// Command is the content of one entry of the control log.
type Command interface{ command() }

// ApplyConfig makes Document the next version of the configuration if Base is
// the current version. ID is an idempotency key: a command that is sent again
// with the same ID gets the result of the first one.
type ApplyConfig struct {
	ID       string
	Base     uint64
	Document []byte // YAML of package fleet
	Author   string
	At       time.Time // when the change was proposed, in whole milliseconds
}

// NewApplyConfig returns the command for a document that package fleet has
// validated. The machine does not validate the content itself: during a rolling
// upgrade, releases with different rules would reach different results.
func NewApplyConfig(id string, base uint64, doc *fleet.Document, author string, at time.Time) ApplyConfig {
	return ApplyConfig{ID: id, Base: base, Document: doc.YAML(), Author: author, At: at.Truncate(time.Millisecond)}
}

// RegisterInstance adds an instance or replaces its registration. It is refused
// if a higher incarnation is registered.
type RegisterInstance struct{ Instance Instance }

// RemoveInstance removes an instance if it still has the given incarnation.
type RemoveInstance struct {
	Instance    string
	Incarnation uint64
}

// Announce adds a member to a database or updates its record. The first
// announcement creates the database.
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

// Leave marks a member as leaving until it is announced with a higher
// incarnation.
type Leave struct {
	Database    string
	Member      string
	Incarnation uint64
}

// Expire marks a member as gone if it still has the given incarnation.
type Expire struct {
	Database    string
	Member      string
	Incarnation uint64
}

// BeginPromotion records that a promotion to NewTerm has begun. It is refused
// unless ExpectedTerm is the highest term begun so far.
type BeginPromotion struct {
	Database     string
	ExpectedTerm uint64
	NewTerm      uint64
}

// CompletePromotion makes Primary the primary of the term that was begun. The
// term continues the log after StartOffset; what earlier terms wrote beyond it
// is discarded.
type CompletePromotion struct {
	Database    string
	Term        uint64
	Primary     string
	StartOffset uint64
}

// MarkCaughtUp records that a member holds the data of the group in Store, so
// that it counts towards majorities. A member that is not a voter becomes one.
// Position is the position that the member has reached.
type MarkCaughtUp struct {
	Database string
	Member   string
	Store    string
	Position group.Position
}

// BootstrapGroup sets the first history, primary and voters of a database whose
// members have been announced.
type BootstrapGroup struct {
	Database string
	Primary  string
	History  group.History
	Voters   []string
}

// RetireMember removes a member that is gone or leaving from the voters. It is
// refused unless Term is the current term.
type RetireMember struct {
	Database string
	Member   string
	Term     uint64
}

// Rebalance reassigns the members that are owned by entries of the zone to the
// owners that rendezvous hashing over the registered entries selects. Without it,
// a member keeps its owner until the owner is no longer an entry of its zone, the
// member moves to another zone, or the first entry registers in the zone of the
// member.
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

// Result is the outcome of a command.
type Result interface{ result() }

// Done is the result of a command that succeeded. Changed is false if the state
// already was as the command asks.
type Done struct{ Changed bool }

// ConfigAccepted is the result of a configuration change that created Version.
type ConfigAccepted struct {
	ID      string
	Version uint64
}

// ConfigConflict is the result of a configuration change whose Base was not the
// current version. Winner is the change that was accepted on the same base, or
// the newest change if that one is no longer known.
type ConfigConflict struct {
	ID      string
	Base    uint64
	Current uint64
	Winner  ConfigChange
}

// ConfigChange identifies an accepted configuration change.
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

// Reason is the code of the cause for which a command was refused.
type Reason string

// The reasons of Refused.
const (
	ReasonInvalid          Reason = "invalid"           // a field is empty, too long or malformed
	ReasonOldIndex         Reason = "old_index"         // the log entry has already been applied
	ReasonTooManyChanges   Reason = "too_many_changes"  // the table of results is full and none is old enough to drop
	ReasonIDReused         Reason = "id_reused"         // an earlier change with other content has the same ID
	ReasonOldIncarnation   Reason = "old_incarnation"   // a higher incarnation is known
	ReasonWrongIncarnation Reason = "wrong_incarnation" // the incarnation differs from the recorded one
	ReasonStoreChanged     Reason = "store_changed"     // the store changed within one incarnation
	ReasonUnknownInstance  Reason = "unknown_instance"
	ReasonUnknownDatabase  Reason = "unknown_database"
	ReasonUnknownMember    Reason = "unknown_member"
	ReasonTooManyMembers   Reason = "too_many_members"
	ReasonTooManyDatabases Reason = "too_many_databases"
	ReasonTooManyInstances Reason = "too_many_instances"
	ReasonBootstrapped     Reason = "bootstrapped"     // the group already has its first term
	ReasonNotBootstrapped  Reason = "not_bootstrapped" // the group has no term yet
	ReasonTermMoved        Reason = "term_moved"       // the term of the command is not the current one
	ReasonPromoting        Reason = "promoting"        // a promotion is in progress
	ReasonNotVoter         Reason = "not_voter"        // the member does not count towards majorities
	ReasonWrongStore       Reason = "wrong_store"      // the store is not the one that the member announced
	ReasonInUse            Reason = "in_use"           // the member is primary, or neither gone nor leaving
)

func (Done) result()           {}
func (ConfigAccepted) result() {}
func (ConfigConflict) result() {}
func (Refused) result()        {}
