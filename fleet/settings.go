// Package fleet holds the configuration document of the fleet: shared defaults
// and a short list of exceptions, each with a written reason.
//
// A document is immutable. Parse and the With methods check it as a whole and
// report every problem at once, so a Document that exists is valid.
package fleet

import "time"

// ReadBound is the freshness that a read asks for when its session names none.
type ReadBound string

// The read bounds.
const (
	BoundSession ReadBound = "session"
	BoundLatest  ReadBound = "latest"
	BoundAge     ReadBound = "age"
)

// Settings are the values in force for one statement, database or instance.
type Settings struct {
	Deadline        time.Duration // longest time from arrival to response of a statement
	QueueWait       time.Duration // longest wait in the admission queue
	RetryBudget     float64       // retries per first attempt
	BreakerFailures int           // consecutive failures that open the breaker of a member
	BreakerOpen     time.Duration // time until an open breaker lets a trial through
	LongShare       float64       // largest share of the slots of a member for long work
	LongFactor      float64       // work that takes this many times the usual time is long
	CommitTimeout   time.Duration // longest wait for the confirmation of a commit by a majority
	ReadBound       ReadBound     // bound of a read whose session names none
	MaxAge          time.Duration // maximum age of a read with the bound "age"
	ReplicaWait     time.Duration // longest wait for a replica to reach the bound of a read
	SilenceLimit    time.Duration // a connection silent for longer is probed over another one
	ProbeInterval   time.Duration // time between probes of an idle connection
	MaxConnections  int           // connections to one backend server, over all instances
	IdleConnections int           // connections to one backend server that an instance keeps ready
	LeaseLength     time.Duration // length of a slot lease
	DetectTimeout   time.Duration // a primary that does not answer for longer is suspected
	ShutdownLimit   time.Duration // longest time for requests in flight at a graceful shutdown
	MaxMessage      int           // largest protocol message, in bytes
	MaxCallers      int           // caller connections per instance
	HandshakeLimit  time.Duration // longest time for startup, TLS and authentication of a caller
}

// Scope selects the statements to which an exception applies, or describes one
// statement for Resolve. An empty field of an exception matches everything.
type Scope struct {
	Database    string
	Fingerprint uint64 // normalised fingerprint of the statement; 0 means any
	Caller      string
}

// IsZero reports whether the scope names nothing.
func (s Scope) IsZero() bool { return s == Scope{} }

// Exception overrides some fields for one scope. Reason and Author are
// required.
type Exception struct {
	Scope  Scope
	Set    Overrides
	Reason string
	Author string
	Expiry string // optional note that says when the exception may go
}

// Overrides is a set of fields with their values. The zero value is empty.
type Overrides struct {
	set    uint64 // bit i is set when fields[i] is overridden
	values Settings
}

// With returns the overrides with one more field, given by its name in the
// document and its value as text, such as "250ms".
func (o Overrides) With(name, value string) (Overrides, error) {
	i, ok := fieldIndex[name]
	if !ok {
		return o, invalid(Problem{Field: name, Value: value, Permitted: "the name of a field"})
	}
	f := &fields[i]
	if !f.parse(&o.values, value) {
		return o, invalid(Problem{Field: name, Value: value, Permitted: f.permitted})
	}
	o.set |= 1 << i
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

func (o *Overrides) has(i int) bool { return o.set&(1<<i) != 0 }
