package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// Caller is the connection of a caller, as a codec presents it. One goroutine
// uses it, but for Interrupt and Close.
type Caller interface {
	// Greet reads the database that the caller asks for.
	Greet(limit time.Duration) (database, user string, err error)
	// Next reads a request. It waits without limit if limit is 0. A message that
	// is too large gives ErrTooBig.
	Next(limit time.Duration) (Request, error)
	// Welcome tells that the session is open.
	Welcome() error
	// Refuse tells why no session is opened.
	Refuse(*Fault) error
	// Reply answers the newest request.
	Reply(Answer) error
	// Interrupt makes a Next that waits return ErrInterrupted.
	Interrupt()
	Close() error
}

// Errors of codecs.
var (
	ErrTooBig      = eris.New("message is over the size limit")
	ErrIdle        = eris.New("no request came in time")
	ErrInterrupted = eris.New("the wait for a request was interrupted")
	// ErrNotSent proves that no byte of a command was sent.
	ErrNotSent = eris.New("the connection was closed before the command was sent")
)

// Target names the backend server that a connection is meant for.
type Target struct {
	Addr    string
	Service string
	ID      string
}

// Dialer opens connections to backend servers. A refusal by the server is a
// *Fault.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Conn, error)
}

// Conn is a connection to a backend server. One goroutine uses it at a time.
type Conn interface {
	// Exec sends the commands together and returns an answer for each. After an
	// error the state of the connection is unknown.
	Exec(limit time.Duration, cmds ...Command) ([]Answer, error)
	// Alive reports whether the connection is still open, as far as can be told
	// without sending anything.
	Alive() bool
	// Position is the newest position that the server reported.
	Position() group.Position
	Close() error
}

// Command is what a connection is asked to carry out. It is one of the types
// below.
type Command interface{ command() }

// The commands. After, where it is set, is the position that the log of the
// server must hold.
type (
	// Run passes on a statement of a caller.
	Run struct {
		ID, Text string
		After    group.Position
	}
	// RunPrepared passes on the execution of a prepared shape, under the name that
	// it has on the connection.
	RunPrepared struct {
		ID, Name, Args string
		After          group.Position
	}
	// BeginTx opens a transaction.
	BeginTx struct {
		ReadOnly bool
		After    group.Position
	}
	// RollbackTx ends a transaction.
	RollbackTx struct{}
	// SetValue sets a session value.
	SetValue struct{ Name, Value string }
	// PrepareShape names a shape.
	PrepareShape struct {
		Name  string
		Shape Shape
	}
	// Reset clears session values and prepared names.
	Reset struct{}
	// ReadStatus asks for the state of the server.
	ReadStatus struct{}
	// StepDown makes a primary of a lower term a replica.
	StepDown struct{ Term uint64 }
)

func (Run) command()          {}
func (RunPrepared) command()  {}
func (BeginTx) command()      {}
func (RollbackTx) command()   {}
func (SetValue) command()     {}
func (PrepareShape) command() {}
func (Reset) command()        {}
func (ReadStatus) command()   {}
func (StepDown) command()     {}

// MemberStatus is what a backend server says of its log.
type MemberStatus struct {
	Primary  bool
	Term     uint64
	Received group.Position // newest position that it received
	Lag      time.Duration
}
