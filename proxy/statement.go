package proxy

import (
	"time"

	"tamarackcross/group"
)

// Request is one statement of a caller. Text goes to backend servers unchanged.
type Request struct {
	ID        string
	Text      string
	Statement Statement
	Delegated *Delegated // set if another instance passed the request on
}

// Statement is what a request asks for. It is one of the types below.
type Statement interface{ statement() }

// The statements.
type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit ends a transaction and keeps its writes.
	Commit struct{}
	// Rollback ends a transaction and drops its writes.
	Rollback struct{}
	// Read reads one item.
	Read struct{}
	// Write writes one item.
	Write struct{}
	// Set sets a value of the session.
	Set struct{ Name, Value string }
	// Prepare names a shape for the session.
	Prepare struct {
		Name  string
		Shape Shape
	}
	// Execute runs a prepared shape. Args is what follows the name.
	Execute struct{ Name, Args string }
	// Deallocate forgets a prepared name.
	Deallocate struct{ Name string }
	// Malformed is a request that the codec could not read.
	Malformed struct{}
)

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Malformed) statement()  {}

// Shape is the form of a prepared statement.
type Shape struct {
	Writes bool
	Text   string
}

// Status is the transaction status that an answer reports.
type Status uint8

// The statuses.
const (
	Idle Status = iota
	InTx
	FailedTx
)

// Answer is the answer to one request or command: rows and a signature, or a
// fault.
type Answer struct {
	Rows      [][]byte
	Signature string // empty if the proxy answered itself
	Fault     *Fault
	Status    Status
	Position  group.Position // of the log of the backend server, zero if there is none
	// Unproved is the time since a primary proved its role at a holder that answers
	// another instance; negative if none did.
	Unproved time.Duration
}

// Code says why a request failed.
type Code uint8

// The codes. The first group promises that nothing of the request is kept.
const (
	Busy Code = iota + 1
	Aborted
	Lagging
	ReadOnly
	Moved
	TooManyConns

	NoStatement // no such prepared name
	ExecFailed
	Timeout
	InDoubt
	NoDatabase
	TooBig
	BadRequest
	Denied
	Unrecognized // a code that the codec does not know
)

var codeNames = [...]string{
	"none", "busy", "aborted", "lagging", "read_only", "moved", "too_many_conns",
	"no_statement", "exec_failed", "timeout", "in_doubt", "no_database", "too_big", "bad_request", "denied", "unrecognized",
}

// String names the code.
func (c Code) String() string { return codeNames[c] }

// notRun reports whether a backend server that answers so has not run the
// statement.
func (c Code) notRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly, Moved, TooManyConns:
		return true
	}
	return false
}

// Fault is a failed request.
type Fault struct {
	Code Code
	Text string
}

// Error describes the fault.
func (f *Fault) Error() string { return f.Code.String() + ": " + f.Text }

func fault(c Code, text string) *Fault { return &Fault{Code: c, Text: text} }
