package proxy

import (
	"tamarackcross/group"
)

// Request is one statement of a caller. Its text is sent to backend servers unchanged.
type Request struct {
	ID        string
	Text      string
	Statement Statement
	Forwarded *Forwarded // set if another instance forwarded the request
}

// Statement is what a request asks for. It is one of the types below.
type Statement interface{ statement() }

// The statements.
type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit ends a transaction and keeps its writes.
	Commit struct{}
	// Rollback ends a transaction and discards its writes.
	Rollback struct{}
	// Read reads one item.
	Read struct{}
	// Write writes one item.
	Write struct{}
	// Set sets a session value.
	Set struct{ Name, Value string }
	// Prepare names a prepared statement of the session.
	Prepare struct {
		Name      string
		Statement PreparedStatement
	}
	// Execute runs a prepared statement with the arguments Args.
	Execute struct{ Name, Args string }
	// Deallocate drops a prepared statement.
	Deallocate struct{ Name string }
	// Malformed is a request that the codec could not parse.
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

// PreparedStatement is the text of a prepared statement, without arguments.
type PreparedStatement struct {
	Writes bool
	Text   string
}

// Status is the transaction status of a session or connection after an answer.
type Status uint8

// The statuses.
const (
	Idle Status = iota
	InTx
	FailedTx
)

// Answer is the answer to one request or command: rows and a signature, or a fault.
type Answer struct {
	Rows      [][]byte
	Signature string // empty if no backend server took part
	Fault     *Fault
	Status    Status
	Position  group.Position // of the log of the backend server, zero if unknown
	// Proof is set by a holder in its answer to another instance: its newest proof of
	// primary, or nil if it has none.
	Proof *Proof
	// Hint is set by a holder too.
	Hint HolderHint
}

// HolderHint is what a holder tells of itself and of the customer with its answer.
type HolderHint struct {
	Load  int // requests under way at the holder for the service
	Width int // number of holders over which the requests of the customer are to be spread
}

// Code says why a request failed.
type Code uint8

// The codes. Those of the first group guarantee that nothing of the request is kept.
const (
	Busy         Code = iota + 1 // not run; worth another attempt later
	Aborted                      // the transaction was rolled back
	Lagging                      // the log of the member does not include the required position
	ReadOnly                     // the member is not the primary, or the transaction is read-only
	Moved                        // another backend server has the address
	TooManyConns                 // the backend server accepts no more connections

	NoStatement // no such prepared statement
	ExecFailed  // the backend server failed to run it
	Timeout     // no answer within the time limit
	InDoubt     // it may have run
	NoDatabase
	TooBig
	BadRequest
	Denied
	Unrecognized // code that the codec does not know
)

var codeNames = [...]string{
	"none", "busy", "aborted", "lagging", "read_only", "moved", "too_many_conns",
	"no_statement", "exec_failed", "timeout", "in_doubt", "no_database", "too_big", "bad_request", "denied", "unrecognized",
}

// String returns the name of the code.
func (c Code) String() string { return codeNames[c] }

// notRun reports whether the code means that the backend server has not run the
// statement.
func (c Code) notRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly, Moved, TooManyConns:
		return true
	}
	return false
}

// Fault is the failure of a request.
type Fault struct {
	Code Code
	Text string
}

// Error returns the code and the text.
func (f *Fault) Error() string { return f.Code.String() + ": " + f.Text }

func fault(c Code, text string) *Fault { return &Fault{Code: c, Text: text} }
