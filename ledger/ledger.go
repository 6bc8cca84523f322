// Package ledger implements the state machine to which the control instances
// apply their replicated log on a hosted platform. It holds the latest
// configuration and the latest promotion order of each service, and where its terms
// started.
package ledger

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// Command is a change of the ledger: PutConfig, OrderPromotion, RecordTerm, CloseOrders, OpenResume, CloseResume,
// RecordMembers, DropMembers, OpenCaps or SettleCaps.
type Command interface{ command() }

// PutConfig stores a configuration if its version is higher than the version in
// force. Otherwise it changes nothing.
type PutConfig struct {
	Version uint64
	Body    []byte
}

// OrderPromotion records the order to make the backend server Target the primary
// of Service. The index of the log entry is the fencing token of the order. If Track is
// set, the order stays open until CloseOrders.
type OrderPromotion struct {
	Service string
	Target  string
	Track   bool `json:",omitempty"`
	// Held is a position that Target held when the order was decided, or zero. The term that the
	// order begins starts there or beyond.
	Held group.Position `json:",omitzero"`
}

// RecordTerm records where a term of Service started. If Renewed is set, the group was set up anew, and
// later terms that were recorded are those of an earlier group.
type RecordTerm struct {
	Service string
	Start   group.StartRange
	Renewed bool `json:",omitempty"`
}

// CloseOrders records that the platform will not carry out the orders of Service with these
// tokens any more.
type CloseOrders struct {
	Service string
	Tokens  []uint64
}

// OpenResume records that replicas of Service may be told to receive again. Until CloseResume with the index of
// this entry, such a command may still be carried out, and would undo a pause.
type OpenResume struct{ Service string }

// CloseResume records that commands which were sent under an OpenResume will not be carried out any more.
type CloseResume struct {
	Service string
	Token   uint64
}

// OpenCaps records that the leader of Term becomes the owner of the caps of customers. It lends
// nothing before.
type OpenCaps struct{ Term uint64 }

// SettleCaps records that loans of owners before that of Term are not in force any more.
type SettleCaps struct{ Term uint64 }

func (PutConfig) command()      {}
func (OrderPromotion) command() {}
func (RecordTerm) command()     {}
func (CloseOrders) command()    {}
func (OpenResume) command()     {}
func (RecordMembers) command()  {}
func (DropMembers) command()    {}
func (CloseResume) command()    {}
func (OpenCaps) command()       {}
func (SettleCaps) command()     {}

// Result is the result of applying a log entry.
type Result interface{ result() }

// ConfigResult is the result of PutConfig: the version now in force, and whether the
// command changed it.
type ConfigResult struct {
	Version uint64
	Changed bool
}

// PromotionResult is the result of OrderPromotion: the fencing token of the order. Tokens
// are unique and later orders have higher ones.
type PromotionResult struct{ Token uint64 }

// TermRecorded is the result of RecordTerm.
type TermRecorded struct{}

// OrdersClosed is the result of CloseOrders.
type OrdersClosed struct{}

// ResumeRecorded is the result of OpenResume and CloseResume.
type ResumeRecorded struct{}

// CapsOpened is the result of OpenCaps. First is true if there was no owner before. Otherwise Former
// is the number of owners after the last one that settled.
type CapsOpened struct {
	First  bool
	Former int
}

// CapsSettled is the result of SettleCaps.
type CapsSettled struct{}

// InvalidEntry is the result of a log entry that could not be decoded.
type InvalidEntry struct{ Err error }

func (ConfigResult) result()    {}
func (PromotionResult) result() {}
func (TermRecorded) result()    {}
func (OrdersClosed) result()    {}
func (ResumeRecorded) result()  {}
func (MembersRecorded) result() {}
func (CapsOpened) result()      {}
func (CapsSettled) result()     {}
func (InvalidEntry) result()    {}

// Config is a stored configuration, as received from the operator.
type Config struct {
	Version uint64
	Body    []byte
}

// PromotionOrder is the latest promotion order for a service.
type PromotionOrder struct {
	Target string
	Token  uint64
	Epoch  uint64         // token of the first of the latest orders that all named Target
	Open   []OpenOrder    // tracked orders that are not closed, this one among them
	Held   group.Position `json:",omitzero"` // of Target when the order was decided, or zero
}

// OpenOrder is an order that the platform may still carry out.
type OpenOrder struct {
	Target string
	Token  uint64
}

// Ledger holds the replicated state. It is safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	state         snapshotState
	configChanged chan struct{} // closed and replaced when the configuration changes
}

// snapshotState is the state as it is encoded in snapshots.
type snapshotState struct {
	Config Config
	Orders map[string]PromotionOrder
	Starts map[string]group.Starts `json:",omitempty"` // of the terms of each service
	// Resumes holds the index of the newest OpenResume of a service that was not closed.
	Resumes map[string]uint64 `json:",omitempty"`
	// Members lists the members of the services whose commits wait for replicas.
	Members map[string][]Member `json:",omitempty"`
	Caps    capsState           `json:",omitzero"`
}

// capsState is what is known of the owners of the caps of customers.
type capsState struct {
	First     uint64 `json:",omitempty"` // term of the first owner, or 0
	Newest    uint64 `json:",omitempty"`
	Unsettled int    `json:",omitempty"` // owners after the last one that settled
}

// record is the encoding of a command in the log. Exactly one field is set.
type record struct {
	Config  *PutConfig      `json:",omitempty"`
	Order   *OrderPromotion `json:",omitempty"`
	Term    *RecordTerm     `json:",omitempty"`
	Close   *CloseOrders    `json:",omitempty"`
	Resume  *OpenResume     `json:",omitempty"`
	Resumed *CloseResume    `json:",omitempty"`
	Member  *RecordMembers  `json:",omitempty"`
	Drop    *DropMembers    `json:",omitempty"`
	Open    *OpenCaps       `json:",omitempty"`
	Settle  *SettleCaps     `json:",omitempty"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{state: snapshotState{Orders: make(map[string]PromotionOrder)}, configChanged: make(chan struct{})}
}

// Encode returns the encoding of a command in the log.
func Encode(c Command) ([]byte, error) {
	switch c := c.(type) {
	case PutConfig:
		return json.Marshal(record{Config: &c})
	case OrderPromotion:
		return json.Marshal(record{Order: &c})
	case RecordTerm:
		return json.Marshal(record{Term: &c})
	case CloseOrders:
		return json.Marshal(record{Close: &c})
	case OpenResume:
		return json.Marshal(record{Resume: &c})
	case CloseResume:
		return json.Marshal(record{Resumed: &c})
	case RecordMembers:
		return json.Marshal(record{Member: &c})
	case DropMembers:
		return json.Marshal(record{Drop: &c})
	case OpenCaps:
		return json.Marshal(record{Open: &c})
	case SettleCaps:
		return json.Marshal(record{Settle: &c})
	default:
		return nil, eris.Errorf("ledger: unknown command %T", c)
	}
}

// Apply applies the command in the log entry at index. The returned value is a
// Result.
func (l *Ledger) Apply(index uint64, command []byte) any {
	var r record
	if err := json.Unmarshal(command, &r); err != nil {
		return InvalidEntry{Err: eris.Wrapf(err, "ledger: decode entry %d", index)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Config != nil:
		return l.storeConfig(*r.Config)
	case r.Order != nil:
		return l.recordOrder(*r.Order, index)
	case r.Term != nil:
		return l.recordTerm(*r.Term)
	case r.Close != nil:
		return l.closeOrders(*r.Close)
	case r.Resume != nil:
		return l.openResume(*r.Resume, index)
	case r.Resumed != nil:
		return l.closeResume(*r.Resumed)
	case r.Member != nil:
		return l.recordMembers(*r.Member)
	case r.Drop != nil:
		delete(l.state.Members, r.Drop.Service)
		return MembersRecorded{}
	case r.Open != nil:
		return l.state.Caps.open(r.Open.Term)
	case r.Settle != nil:
		return l.state.Caps.settle(r.Settle.Term)
	}
	return InvalidEntry{Err: eris.Errorf("ledger: entry %d contains no command", index)}
}

func (l *Ledger) storeConfig(c PutConfig) Result {
	if c.Version <= l.state.Config.Version {
		return ConfigResult{Version: l.state.Config.Version}
	}
	l.state.Config = Config(c)
	l.notifyChange()
	return ConfigResult{Version: c.Version, Changed: true}
}

func (l *Ledger) recordOrder(c OrderPromotion, token uint64) Result {
	old := l.state.Orders[c.Service]
	next := PromotionOrder{Target: c.Target, Token: token, Epoch: token, Open: slices.Clone(old.Open), Held: c.Held}
	if old.Target == c.Target {
		next.Epoch = cmp.Or(old.Epoch, old.Token) // entries of earlier builds have no epoch
	}
	if c.Track {
		next.Open = append(next.Open, OpenOrder{Target: c.Target, Token: token})
	}
	l.state.Orders[c.Service] = next
	return PromotionResult{Token: token}
}

func (l *Ledger) recordTerm(c RecordTerm) Result {
	if l.state.Starts == nil {
		l.state.Starts = make(map[string]group.Starts)
	}
	starts := l.state.Starts[c.Service]
	if c.Renewed {
		starts = starts.Until(c.Start.Term)
	}
	l.state.Starts[c.Service] = starts.With(c.Start)
	return TermRecorded{}
}

func (l *Ledger) closeOrders(c CloseOrders) Result {
	o := l.state.Orders[c.Service]
	o.Open = slices.DeleteFunc(slices.Clone(o.Open), func(e OpenOrder) bool { return slices.Contains(c.Tokens, e.Token) })
	l.state.Orders[c.Service] = o
	return OrdersClosed{}
}

func (l *Ledger) openResume(c OpenResume, token uint64) Result {
	if l.state.Resumes == nil {
		l.state.Resumes = make(map[string]uint64)
	}
	l.state.Resumes[c.Service] = token
	return ResumeRecorded{}
}

// closeResume forgets an OpenResume, unless there is a newer one.
func (l *Ledger) closeResume(c CloseResume) Result {
	if l.state.Resumes[c.Service] == c.Token {
		delete(l.state.Resumes, c.Service)
	}
	return ResumeRecorded{}
}

// open records an owner. The first one has no loans before it, so it counts as settled.
func (s *capsState) open(term uint64) Result {
	if s.First == 0 {
		s.First, s.Newest = term, term
	} else if term > s.Newest {
		s.Newest = term
		s.Unsettled++
	}
	return CapsOpened{First: s.First == term, Former: max(0, s.Unsettled-1)}
}

// settle records that the owner of a term has settled, unless there is a newer one.
func (s *capsState) settle(term uint64) Result {
	if s.Newest == term {
		s.Unsettled = 0
	}
	return CapsSettled{}
}

func (l *Ledger) notifyChange() {
	close(l.configChanged)
	l.configChanged = make(chan struct{})
}

// Config returns the latest configuration known to this instance, and a channel
// that is closed when a newer one arrives.
func (l *Ledger) Config() (Config, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Config, l.configChanged
}

// PromotionOrder returns the latest promotion order for a service. The caller must not change
// its open orders.
func (l *Ledger) PromotionOrder(service string) (PromotionOrder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.state.Orders[service]
	o.Epoch = cmp.Or(o.Epoch, o.Token)
	return o, ok
}

// Starts returns where the terms of a service started, as far as it was recorded.
func (l *Ledger) Starts(service string) group.Starts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Starts[service]
}

// Resume returns the token of the newest OpenResume of a service that was not closed, or 0.
func (l *Ledger) Resume(service string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Resumes[service]
}

// Orders returns the latest promotion order of each service that has one.
func (l *Ledger) Orders() map[string]PromotionOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.state.Orders)
}

// Snapshot returns the encoded state.
func (l *Ledger) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := json.Marshal(l.state)
	if err != nil {
		panic("ledger: encode the state: " + err.Error())
	}
	return data
}

// Restore replaces the state by that of a snapshot. Empty data stands for the
// empty state.
func (l *Ledger) Restore(data []byte) error {
	next := snapshotState{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &next); err != nil {
			return eris.Wrap(err, "ledger: decode the snapshot")
		}
	}
	if next.Orders == nil {
		next.Orders = make(map[string]PromotionOrder)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = next
	l.notifyChange()
	return nil
}
