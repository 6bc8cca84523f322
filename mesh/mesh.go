// Package mesh carries calls between the instances of the proxy on a hosted
// platform: what control knows goes to the entries, what entries observe goes to
// control.
package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twmb/murmur3"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"tamarackcross/group"
	"tamarackcross/roster"
)

// Observation is a backend server that does not answer an instance.
type Observation struct {
	Service string
	ID      string
	For     time.Duration
}

// SyncRequest tells what an instance has, and asks for what is newer.
type SyncRequest struct {
	Name     string
	Zone     string
	Serves   bool     // the instance serves callers
	Probed   []string `json:",omitempty"` // services whose backend servers it probes, so that Troubles says something
	Addr     string   `json:",omitempty"` // where it takes requests that others pass on
	Leaving  bool     `json:",omitempty"` // it takes no new callers
	Peers    uint64   `json:",omitempty"` // digest of the peers of its zone, as far as known
	Config   uint64
	Boot     uint64 // of the receiver, as far as known
	Revision uint64 // newest revision of the roster of the receiver that was taken in
	Wait     time.Duration
	Troubles []Observation
}

// SyncReply carries what the receiver has beyond the request.
type SyncReply struct {
	Boot      uint64
	Revision  uint64
	Version   uint64 // of Config, or 0 if there is nothing newer
	Config    []byte `json:",omitempty"`
	Entries   []roster.Entry
	Control   []string // addresses of the control members
	Instances int      // instances that serve callers
	Zone      string   // of the receiver
	Digest    uint64   // of Peers
	Peers     []Peer   `json:",omitempty"` // of the zone of the requester, if the digest differs
}

// Peer is an instance that takes requests from others of its zone.
type Peer struct{ Name, Addr string }

// Digest returns a number that differs between different lists.
func Digest(peers []Peer) uint64 {
	h := murmur3.New64()
	for _, p := range peers {
		_, _ = io.WriteString(h, p.Name+"\x00"+p.Addr+"\x00") // a hash accepts all
	}
	return h.Sum64()
}

// ProveRequest asks for a proof of the primary of a service that begins now.
type ProveRequest struct{ Service string }

// ProveReply carries it. Known is false if no member proved to be the primary.
type ProveReply struct {
	Known    bool
	Member   string
	Position group.Position
	Lags     map[string]time.Duration
}

// PutRequest asks the leader to store a configuration.
type PutRequest struct {
	Version uint64
	Body    []byte
}

// PutReply tells that it is stored, or who leads.
type PutReply struct {
	Stored bool
	Leader string
}

// GetRequest asks the leader for the newest configuration.
type GetRequest struct{}

// GetReply carries it, or tells who leads.
type GetReply struct {
	Known   bool
	Leader  string
	Version uint64
	Body    []byte
}

// Handler answers calls.
type Handler interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Put(ctx context.Context, in *PutRequest) (*PutReply, error)
	Get(ctx context.Context, in *GetRequest) (*GetReply, error)
	Prove(ctx context.Context, in *ProveRequest) (*ProveReply, error)
}

// The names of the calls.
const (
	callSync  = "/mesh.Control/Sync"
	callPut   = "/mesh.Control/Put"
	callGet   = "/mesh.Control/Get"
	callProve = "/mesh.Control/Prove"
)

// encoding is compressed JSON: a configuration of hundreds of routes must pass a
// link of 2 Mbit/s on which requests wait.
type encoding struct{}

// plainLimit is the size below which compression costs more than it saves.
const plainLimit = 1 << 10

// Markers of the first byte.
const (
	markPlain = 'p'
	markGzip  = 'z'
)

// Marshal encodes a message.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(data) < plainLimit {
		return append([]byte{markPlain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(markGzip)
	z := gzip.NewWriter(&out)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// maxMessage bounds a decompressed message.
const maxMessage = 16 << 20

// Unmarshal decodes a message.
func (encoding) Unmarshal(data []byte, msg drpc.Message) error {
	if len(data) == 0 {
		return eris.New("mesh: empty message")
	}
	if data[0] == markPlain {
		return json.Unmarshal(data[1:], msg)
	}
	z, err := gzip.NewReader(bytes.NewReader(data[1:]))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxMessage))
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, msg)
}

// description lists the calls for drpc.
type description struct{}

// NumMethods returns the number of calls.
func (description) NumMethods() int { return 4 }

// Method describes one call.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return callSync, encoding{}, receiver(Handler.Sync), Handler.Sync, true
	case 1:
		return callPut, encoding{}, receiver(Handler.Put), Handler.Put, true
	case 2:
		return callGet, encoding{}, receiver(Handler.Get), Handler.Get, true
	case 3:
		return callProve, encoding{}, receiver(Handler.Prove), Handler.Prove, true
	default:
		return "", nil, nil, nil, false
	}
}

func receiver[In, Out any](f func(Handler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		h, ok := srv.(Handler)
		in, fits := in1.(*In)
		if !ok || !fits {
			return nil, eris.New("mesh: call with a wrong type")
		}
		return f(h, ctx, in)
	}
}

// Register adds the calls to mux.
func Register(mux *drpcmux.Mux, h Handler) error { return mux.Register(h, description{}) }

// DialFunc opens a connection to another instance.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client calls one instance, one call at a time.
type Client struct {
	addr string
	dial DialFunc

	mu   sync.Mutex
	conn *drpcconn.Conn
}

// NewClient returns a client of the instance at addr.
func NewClient(addr string, dial DialFunc) *Client { return &Client{addr: addr, dial: dial} }

// Addr returns the address of the instance.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// dialLimit bounds the opening of a connection between instances. A machine without
// power answers nothing: a new attempt finds it sooner than the next retransmission
// of the first, after a second.
const dialLimit = 200 * time.Millisecond

// call makes one call. A connection on which a call failed is not used again,
// since it may have gone silent.
func (c *Client) call(ctx context.Context, name string, in, out any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		dctx, stop := context.WithTimeout(ctx, dialLimit)
		nc, err := c.dial(dctx, c.addr)
		stop()
		if err != nil {
			return eris.Wrapf(err, "mesh: reach %s", c.addr)
		}
		c.conn = drpcconn.New(nc)
	}
	if err := c.conn.Invoke(ctx, name, encoding{}, in, out); err != nil {
		c.drop()
		return eris.Wrapf(err, "mesh: call %s at %s", name, c.addr)
	}
	return nil
}

// Sync exchanges state.
func (c *Client) Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error) {
	out := new(SyncReply)
	return out, c.call(ctx, callSync, in, out)
}

// Put stores a configuration at the leader.
func (c *Client) Put(ctx context.Context, in *PutRequest) (*PutReply, error) {
	out := new(PutReply)
	return out, c.call(ctx, callPut, in, out)
}

// Get reads the newest configuration at the leader.
func (c *Client) Get(ctx context.Context, in *GetRequest) (*GetReply, error) {
	out := new(GetReply)
	return out, c.call(ctx, callGet, in, out)
}

// Prove asks for a proof.
func (c *Client) Prove(ctx context.Context, in *ProveRequest) (*ProveReply, error) {
	out := new(ProveReply)
	return out, c.call(ctx, callProve, in, out)
}
