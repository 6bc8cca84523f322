// Package host runs the product on a platform that forwards callers to it: the
// entry role serves callers, the control role keeps what must survive.
package host

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/config"
	"tamarackcross/roster"
)

// Settings are what a process learns at its start.
type Settings struct {
	Name     string
	Zone     string
	Zones    int    // that the deployment has
	Callers  string // address for callers, with the entry role
	Ready    string // address for the probe of the platform, with the entry role
	Control  string // address for backend servers and operators, with the control role
	Peer     string // address for other instances
	Seeds    []string
	Form     bool // the whole fleet starts for the first time
	DataDir  string
	Duty     string // address of the platform for promotions, or empty
	Grace    time.Duration
	MemoryMB int
	MaxFiles int
}

// Control is what the control role does for backend servers and operators.
type Control interface {
	// Announce takes in what a backend server says of itself.
	Announce(roster.Entry) error
	// Leave records the end of a backend server.
	Leave(roster.Incarnation)
	// Put stores a configuration. It returns nil once a majority holds it.
	Put(ctx context.Context, version uint64, body []byte) error
	// Get returns the newest configuration, or an error if it is not sure of it.
	Get(ctx context.Context) ([]byte, error)
}

// PromoteCall orders a promotion at the platform.
type PromoteCall struct {
	Service string
	Target  string
	Holder  string
	Token   uint64
}

// Promoter orders promotions.
type Promoter interface {
	Promote(ctx context.Context, o PromoteCall) error
}

// DecodeFunc reads a stored configuration.
type DecodeFunc func(body []byte) (*config.Document, error)

// Errors of the roles.
var (
	// ErrOutdated means that the order was refused for its token or its target.
	ErrOutdated = eris.New("the platform refused the order as outdated")
	ErrNoLeader = eris.New("no control leader could be reached")
	ErrUnknown  = eris.New("service is not configured")
)
