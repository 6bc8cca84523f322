// Package host runs an instance on a hosted platform that forwards callers to it. The entry
// role serves callers. The control role keeps the replicated log with the configuration and
// the promotion orders, and supervises the backend servers.
package host

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/caps"
	"tamarackcross/config"
	"tamarackcross/duty"
	"tamarackcross/roster"
)

// Settings are the settings of an instance.
type Settings struct {
	Name         string
	Zone         string
	ZoneCount    int           // number of availability zones of the deployment
	CallerAddr   string        // address for callers; entry role only
	ReadyAddr    string        // address for the readiness probe of the platform; entry role only
	ControlAddr  string        // address for backend servers and operators; control role only
	PeerAddr     string        // address for other instances
	Seeds        []string      // peer addresses of control instances
	Bootstrap    bool          // the deployment starts for the first time: the seeds bootstrap a new log
	DataDir      string        // data directory; control role only
	PromoterAddr string        // address of the platform for promotion orders, or empty
	GracePeriod  time.Duration // time that the platform allows for a shutdown
	MemoryMB     int           // memory limit in MB; 0 for none
	MaxFiles     int           // limit of open file descriptors; 0 for none
	DiskLosses   int           // disks of control instances that may be lost at the same time; 0 counts as 1
	Succession   duty.Succession
	CapBound     caps.Bound // by how much customers may exceed their caps; without a window they have none
}

// Control is the part of the control role that backend servers and operators call.
type Control interface {
	// Announce adds the announcement of a backend server to the roster. It returns ErrNotAdmitted if
	// the server must announce itself again later.
	Announce(context.Context, roster.Entry) error
	// Leave records that one start of a backend server has ended.
	Leave(roster.Incarnation)
	// Put stores a configuration. It returns nil once a majority of the control members
	// has written it.
	Put(ctx context.Context, version uint64, body []byte) error
	// Get returns the newest configuration, or an error if no majority confirms it.
	Get(ctx context.Context) ([]byte, error)
}

// PromotionOrder is an order to the platform to make Target the primary of Service.
type PromotionOrder struct {
	Service    string
	Target     string
	DutyHolder string // name of the instance that gives the order
	Token      uint64 // fencing token
	// MaySend is called right before the order is sent. If it returns false, the order must not
	// be sent any more. It may be nil.
	MaySend func() bool
}

// Promoter sends promotion orders to the platform.
type Promoter interface {
	Promote(ctx context.Context, o PromotionOrder) error
}

// DecodeFunc decodes a stored configuration.
type DecodeFunc func(body []byte) (*config.Document, error)

// Errors of the roles.
var (
	// ErrOutdated means that the platform rejected a promotion order because of its token or
	// its target.
	ErrOutdated = eris.New("the platform rejected the promotion order as outdated")
	// ErrNotSent means that a promotion order, or a command to a backend server, was not sent.
	ErrNotSent = eris.New("the order was not sent")
	// ErrNoLeader means that no control leader was reached. For a proof of primary it means
	// that no control instance has answered lately.
	ErrNoLeader = eris.New("no control leader could be reached")
	// ErrUnknown means that a service is not configured. For a proof of primary it means that
	// the control instance obtained none.
	ErrUnknown = eris.New("service is not configured")
)
