package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// Caller is the connection of a caller behind a codec. One goroutine uses it. Only
// Interrupt and Close may be called from others.
type Caller interface {
	// ReadStartup reads the startup message of the caller. user is what the caller presents to
	// identify itself, which may be a secret.
	ReadStartup(limit time.Duration) (database, user string, err error)
	// Next reads a request. A limit of 0 means to wait without limit. A message that
	// is too large gives ErrTooBig.
	Next(limit time.Duration) (Request, error)
	// SendReady tells the caller that its session is open.
	SendReady() error
	// Refuse sends the fault that ends the session or prevents it.
	Refuse(*Fault) error
	// Reply answers the last request that Next returned.
	Reply(Answer) error
	// Gone reports whether the caller has closed its connection, as far as can be told without
	// waiting. The goroutine that uses the connection calls it while it works on a request.
	Gone() bool
	// Interrupt makes this and later calls of Next return ErrInterrupted, unless a request
	// has arrived or arrives soon.
	Interrupt()
	Close() error
}

// The errors of codecs.
var (
	ErrTooBig      = eris.New("message is over the size limit")
	ErrIdle        = eris.New("no request arrived within the idle timeout")
	ErrInterrupted = eris.New("the wait for a request was interrupted")
	// ErrNotSent guarantees that no byte of a command was sent.
	ErrNotSent = eris.New("the connection was closed before the command was sent")
)

// Target identifies the backend server to connect to.
type Target struct {
	Addr     string
	Service  string
	ID       string
	Customer string // in whose name the connection is opened; empty for that of the instance
}

// Dialer opens connections to backend servers. If the server refuses the connection,
// the error is a *Fault.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Conn, error)
}

// Conn is a connection to a backend server. One goroutine uses it at a time.
type Conn interface {
	// Exec sends the commands together and returns an answer for each. After an
	// error the state of the connection is unknown.
	Exec(limit time.Duration, cmds ...Command) ([]Answer, error)
	// Alive reports whether the connection is open, as far as can be told without
	// sending.
	Alive() bool
	// Position returns the newest log position that the server reported.
	Position() group.Position
	Close() error
}

// Command is a command to a backend server. It is one of the types below.
type Command interface{ command() }

// The commands. A command with a position in After is run only once the log of the
// server includes that position.
type (
	// Run runs a statement of a caller.
	Run struct {
		ID, Text string
		After    group.Position
	}
	// RunPrepared runs a prepared statement by the name that it has on the connection.
	RunPrepared struct {
		ID, Name, Args string
		After          group.Position
	}
	// BeginTx opens a transaction.
	BeginTx struct {
		ReadOnly bool
		After    group.Position
	}
	// RollbackTx rolls back a transaction.
	RollbackTx struct{}
	// SetValue sets a session value.
	SetValue struct{ Name, Value string }
	// PrepareStatement prepares a statement under a name.
	PrepareStatement struct {
		Name      string
		Statement PreparedStatement
	}
	// Reset clears session values and prepared statements.
	Reset struct{}
	// ReadStatus asks for the role and the position of the server.
	ReadStatus struct{}
	// StepDown makes a primary of a term below Term a replica.
	StepDown struct{ Term uint64 }
	// PauseReplica makes a replica of a term below Term stop receiving until ResumeReplica, a
	// promotion or its restart.
	PauseReplica struct{ Term uint64 }
	// ResumeReplica makes a paused replica receive again.
	ResumeReplica struct{}
)

func (Run) command()              {}
func (RunPrepared) command()      {}
func (BeginTx) command()          {}
func (RollbackTx) command()       {}
func (SetValue) command()         {}
func (PrepareStatement) command() {}
func (Reset) command()            {}
func (ReadStatus) command()       {}
func (StepDown) command()         {}
func (PauseReplica) command()     {}
func (ResumeReplica) command()    {}

// MemberStatus is the role and the log position that a backend server reports.
type MemberStatus struct {
	Primary    bool
	Term       uint64
	PausedTerm uint64         // term for which it has stopped receiving; 0 if it receives
	Received   group.Position // newest position that the server has received
	Lag        time.Duration
}
