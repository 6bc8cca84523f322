// Package ledger is the state machine to which control applies its replicated
// log on a hosted platform: the newest configuration and the orders to promote.
package ledger

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// Command is a change of the ledger: PutConfig or OrderPromotion.
type Command interface{ command() }

// PutConfig stores a configuration. The highest version stays in force; one that
// is not higher changes nothing.
type PutConfig struct {
	Version uint64
	Body    []byte
}

// OrderPromotion records that a backend server is to become the primary of its
// service. Its place in the log is the fencing token of the order.
type OrderPromotion struct {
	Service string
	Target  string
}

func (PutConfig) command()      {}
func (OrderPromotion) command() {}

// Result is what a command led to: Stored, Ordered or Failed.
type Result interface{ result() }

// Stored tells which version is in force after PutConfig.
type Stored struct {
	Version uint64
	Changed bool
}

// Ordered carries the fencing token of a promotion. No two orders share one, and
// later orders have higher ones.
type Ordered struct{ Token uint64 }

// Failed tells that an entry of the log could not be read.
type Failed struct{ Err error }

func (Stored) result()  {}
func (Ordered) result() {}
func (Failed) result()  {}

// Config is a stored configuration, as the operator sent it.
type Config struct {
	Version uint64
	Body    []byte
}

// Order is the newest order for a service.
type Order struct {
	Target string
	Token  uint64
}

// Ledger is the state. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	state   contents
	changed chan struct{} // closed when the configuration changes
}

// contents is the state as snapshots hold it.
type contents struct {
	Config Config
	Orders map[string]Order
}

// record is the encoded form of a command; one field is set.
type record struct {
	Config *PutConfig      `json:",omitempty"`
	Order  *OrderPromotion `json:",omitempty"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{state: contents{Orders: make(map[string]Order)}, changed: make(chan struct{})}
}

// Encode returns the form of a command that the log holds.
func Encode(c Command) ([]byte, error) {
	switch c := c.(type) {
	case PutConfig:
		return json.Marshal(record{Config: &c})
	case OrderPromotion:
		return json.Marshal(record{Order: &c})
	default:
		return nil, eris.Errorf("ledger: unknown command %T", c)
	}
}

// Apply carries out the command at index of the log. The result is a Result.
func (l *Ledger) Apply(index uint64, command []byte) any {
	var r record
	if err := json.Unmarshal(command, &r); err != nil {
		return Failed{Err: eris.Wrapf(err, "ledger: entry %d", index)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Config != nil:
		return l.put(*r.Config)
	case r.Order != nil:
		l.state.Orders[r.Order.Service] = Order{Target: r.Order.Target, Token: index}
		return Ordered{Token: index}
	}
	return Failed{Err: eris.Errorf("ledger: entry %d is empty", index)}
}

func (l *Ledger) put(c PutConfig) Result {
	if c.Version <= l.state.Config.Version {
		return Stored{Version: l.state.Config.Version}
	}
	l.state.Config = Config(c)
	l.wake()
	return Stored{Version: c.Version, Changed: true}
}

func (l *Ledger) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Config returns the newest configuration that is known here, and a channel that
// is closed when a newer one comes.
func (l *Ledger) Config() (Config, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Config, l.changed
}

// Order returns the newest order for a service.
func (l *Ledger) Order(service string) (Order, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.state.Orders[service]
	return o, ok
}

// Snapshot encodes the state.
func (l *Ledger) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := json.Marshal(l.state)
	if err != nil {
		panic("ledger: state cannot be encoded: " + err.Error())
	}
	return data
}

// Restore replaces the state by that of a snapshot.
func (l *Ledger) Restore(data []byte) error {
	next := contents{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &next); err != nil {
			return eris.Wrap(err, "ledger: snapshot")
		}
	}
	if next.Orders == nil {
		next.Orders = make(map[string]Order)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = next
	l.wake()
	return nil
}
