// Package fleet implements the configuration document that all instances share:
// defaults, and a short list of exceptions, each with a reason.
//
// A document is immutable. Parse and the With methods validate the whole document
// and report all problems at once, so every Document is valid.
package fleet

import "time"

// ReadBound is the freshness required of a read whose session sets none.
type ReadBound string

// The read bounds.
const (
	BoundSession ReadBound = "session"
	BoundLatest  ReadBound = "latest"
	BoundAge     ReadBound = "age"
)

// Settings are the values in force for one statement, database or instance.
type Settings struct {
	Deadline        time.Duration // longest time from the arrival of a statement to its response
	QueueWait       time.Duration // longest wait in the admission queue
	RetryBudget     float64       // ratio of retries to first attempts
	BreakerFailures int           // consecutive failures that open the circuit breaker of a member
	BreakerOpen     time.Duration // time for which a breaker stays open before it allows a trial request
	LongShare       float64       // largest share of the slots of a member that long requests may use
	LongFactor      float64       // a request is long from this multiple of the expected duration
	CommitTimeout   time.Duration // longest wait until a majority holds a commit
	ReadBound       ReadBound     // freshness of a read whose session sets none
	MaxAge          time.Duration // greatest age of the data of a read with the bound "age"
	ReplicaWait     time.Duration // longest wait for a replica to reach the required position of a read
	SilenceLimit    time.Duration // time without data on a connection until its backend server is probed over another one
	ProbeInterval   time.Duration // time between probes of an idle connection
	MaxConnections  int           // connections to one backend server, over all instances
	IdleConnections int           // idle connections to one backend server that an instance keeps open
	LeaseLength     time.Duration // length of the lease of slots
	DetectTimeout   time.Duration // a primary that does not answer for longer is suspected to have failed
	ShutdownLimit   time.Duration // longest time that a graceful shutdown waits for requests in flight
	MaxMessageBytes int           // largest protocol message, in bytes
	MaxCallers      int           // greatest number of caller connections of an instance
	HandshakeLimit  time.Duration // longest time for TLS, startup and authentication of a caller
}

// Scope selects the statements to which an exception applies. An empty field
// matches every statement. For Resolve, a Scope describes one statement.
type Scope struct {
	Database    string
	Fingerprint uint64 // fingerprint of the normalized statement; 0 matches any
	Caller      string
}

// IsZero reports whether the scope names no part.
func (s Scope) IsZero() bool { return s == Scope{} }

// Exception overrides some settings for one scope. Reason and Author are
// required.
type Exception struct {
	Scope  Scope
	Set    Overrides
	Reason string
	Author string
	Expiry string // optional note on when the exception can be removed; not interpreted
}

// Overrides is a set of settings with their values. The zero value is empty.
type Overrides struct {
	mask   uint64 // bit i is set when fields[i] is overridden
	values Settings
}

// With returns the overrides with one more field. Name and value are written as
// in the document, for example "deadline" and "250ms".
func (o Overrides) With(name, value string) (Overrides, error) {
	i, ok := fieldIndex[name]
	if !ok {
		return o, invalid(Problem{Field: name, Value: value, Permitted: "the name of a field"})
	}
	f := &fields[i]
	if !f.parse(&o.values, value) {
		return o, invalid(Problem{Field: name, Value: value, Permitted: f.permitted})
	}
	o.mask |= 1 << i
	return o, nil
}

// Len returns the number of overridden fields.
func (o Overrides) Len() int { return len(o.Fields()) }

// Fields returns the names of the overridden fields, in the order of the
// document.
func (o Overrides) Fields() []string {
	var names []string
	for i := range fields {
		if o.has(i) {
			names = append(names, fields[i].name)
		}
	}
	return names
}

func (o *Overrides) has(i int) bool { return o.mask&(1<<i) != 0 }
