// Package mesh implements the calls to control instances on a hosted platform. Control
// instances send the configuration and the roster to the other instances. In return, those
// that probe backend servers report which ones do not answer.
package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/big"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/twmb/murmur3"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"tamarackcross/caps"
	"tamarackcross/group"
	"tamarackcross/lease"
	"tamarackcross/roster"
)

// The messages are encoded in JSON, but for those of Fetch, which carry compressed bytes. Tags
// keep the keys of fields that have another name in Go.

// UnresponsiveMember is a backend server that does not answer the probes of an instance, and
// how long it has not.
type UnresponsiveMember struct {
	Service string
	ID      string
	For     time.Duration
}

// SyncRequest sends the state of an instance to a control instance, and asks for the
// configuration and the roster entries that are newer than those of the sender.
type SyncRequest struct {
	Name                string
	Zone                string
	Serves              bool                 // the sender is an entry
	ProbedServices      []string             `json:"Probed,omitempty"` // services whose members it probes; UnresponsiveMembers covers only these
	Addr                string               `json:",omitempty"`       // where it serves requests that other entries forward
	Leaving             bool                 `json:",omitempty"`       // it accepts no new callers
	PeersDigest         uint64               `json:"Peers,omitempty"`  // digest of the peers that it has, or 0
	AllZones            bool                 `json:",omitempty"`       // it asks for the peers of all zones, not only of its own
	ConfigVersion       uint64               `json:"Config"`           // newest version of the configuration that the receiver announced
	ConfigHeld          uint64               `json:"Held,omitempty"`   // version of the configuration that the sender has, or 0
	Incarnation         uint64               `json:"Boot"`             // incarnation of the receiver that RosterRevision refers to, or 0
	RosterRevision      uint64               `json:"Revision"`         // newest revision of the roster of the receiver that it has
	Wait                time.Duration        // how long the receiver may hold the call while there is nothing new
	UnresponsiveMembers []UnresponsiveMember `json:"Troubles"`
	Lease               *LeaseRequest        `json:",omitempty"` // asks for leases; nil if the sender relies on no primary
	ReportOnly          bool                 `json:",omitempty"` // the receiver replies at once, with nothing
	Home                bool                 `json:",omitempty"` // the receiver counts the sender; an entry has one home
	HomeSince           int64                `json:",omitempty"` // when the sender chose it, in ms of its clock
	Gathered            *Gathered            `json:",omitempty"` // set by control instances
	KnownPeers          []Peer               `json:",omitempty"` // entries that report to the sender, a control instance, unless the receiver has this list
	KnownPeersDigest    uint64               `json:",omitempty"` // of that list; 0 if there is none
	LeavingLonger       []roster.Entry       `json:",omitempty"` // servers that have been leaving for longer than the receiver said
}

// Gathered is what a control instance has gathered from the entries whose home it is, and from its
// own probes. A set of instances is a number in which bit i stands for Entries[i], and bit
// len(Entries) for the control instance itself.
type Gathered struct {
	Entries   []uint32            `json:",omitempty"`         // hashes of their names; an entry may change its home
	HomeSince []int64             `json:",omitempty"`         // when each of them chose this home, in ms of its clock
	Probing   map[string]*big.Int `json:"ProbedBy,omitempty"` // instances that probe the members of a service
	Failing   []FailingMember     `json:"MissedBy,omitempty"`
}

// FailingMember is a backend server that some instances have had no answer from for so long that
// it counts as failing there.
type FailingMember struct {
	Service string
	ID      string
	At      *big.Int // set of these instances
}

// ControlAddr is the address of a control instance, and its zone if known.
type ControlAddr struct {
	Addr string
	Zone string `json:",omitempty"`
}

// LeaseRequest asks for leases, and reports those that the sender has from the receiver.
type LeaseRequest struct {
	Services []string      `json:",omitempty"` // besides ProbedServices
	Applied  uint64        `json:",omitempty"` // number of the last grant that the sender has applied
	Digest   uint64        `json:",omitempty"` // of its appointments
	Left     time.Duration `json:",omitempty"` // how long it is still in force
}

// LeaseReply grants leases. They replace the earlier ones of the sender.
type LeaseReply struct {
	Number       uint64
	Valid        time.Duration                // from the time of the request
	Digest       uint64                       `json:",omitempty"` // of the appointments
	Appointments map[string]lease.Appointment `json:",omitempty"` // by service; left out if the digest is that of the request
}

// LeaseDigest returns a hash of appointments. It is used to detect that two sets differ.
func LeaseDigest(appointments map[string]lease.Appointment) uint64 {
	h := murmur3.New64()
	for _, service := range slices.Sorted(maps.Keys(appointments)) {
		a := appointments[service]
		_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d\x00", service, a.Member, a.Epoch) // writing to a hash cannot fail
	}
	return h.Sum64()
}

// SyncReply carries what the sender of the request lacks.
type SyncReply struct {
	Incarnation      uint64         `json:"Boot"`       // random ID of this run of the control role
	RosterRevision   uint64         `json:"Revision"`   // revision of the roster up to RosterEntries
	ConfigVersion    uint64         `json:"Version"`    // newest version of the configuration that the sender has; Fetch returns it
	Config           *FetchReply    `json:",omitempty"` // that version relative to ConfigHeld, if it is small and new to the requester
	RosterEntries    []roster.Entry `json:"Entries"`    // entries that changed after the revision of the request
	Controls         []ControlAddr  `json:"Control"`    // the control members
	Led              bool           `json:",omitempty"` // the sender knows a leader of control that is in office
	Leader           string         `json:",omitempty"` // address of that leader
	EntryCount       int            `json:"Instances"`  // number of live entries
	Zone             string         // zone of the control instance
	PeersDigest      uint64         `json:"Digest"`     // digest of the peers in the zone of the requester, or in all zones
	Peers            []Peer         `json:",omitempty"` // these peers, if the digest of the request differs
	KnownPeersDigest uint64         `json:",omitempty"` // digest of the KnownPeers of the requester that the sender has
	Lease            *LeaseReply    `json:",omitempty"` // nil unless the sender leads and was asked for leases
	HeldFor          time.Duration  `json:",omitempty"` // how long the sender held the call
}

// Peer is an entry that serves requests which other entries forward. Zone is empty for one of the
// zone of the receiver.
type Peer struct {
	Name, Addr string
	Zone       string `json:",omitempty"`
}

// Digest returns a hash of a list of peers. It is used to detect that two lists differ.
func Digest(peers []Peer) uint64 {
	h := murmur3.New64()
	for _, p := range peers {
		_, _ = io.WriteString(h, p.Name+"\x00"+p.Addr+"\x00"+p.Zone+"\x00") // writing to a hash cannot fail
	}
	return h.Sum64()
}

// ProveRequest asks for a proof of primary of a service, from a probe that begins after the
// request has arrived.
type ProveRequest struct{ Service string }

// ProveReply carries the proof of primary, with the replication lags by member. Known is
// false if no member proved to be the primary.
type ProveReply struct {
	Known    bool
	Member   string
	Position group.Position
	Lags     map[string]time.Duration
}

// FetchRequest asks for a part of an encoded version of the configuration.
type FetchRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Base    uint64 // version that the requester has, or 0
	Digest  uint64 // of the encoding of which the requester has the first Offset bytes
	Offset  int
}

// FetchReply carries a part of an encoded version of the configuration. If the receiver does
// not have the encoding that was asked for, it is the start of another one.
type FetchReply struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   // 0 if the receiver has no configuration
	Base    uint64   // version that the encoding refers to, or 0
	Digest  uint64   // of the encoding
	Size    int      // of the encoding, in bytes
	Offset  int      // of Data in the encoding
	Data    []byte
}

// PutRequest asks the leader to store a configuration.
type PutRequest struct {
	Version uint64
	Body    []byte
}

// PutReply tells whether the configuration is stored. If the receiver is not the leader,
// Leader is the address of the leader, if known.
type PutReply struct {
	Stored bool
	Leader string
}

// GetRequest asks the leader for the newest configuration.
type GetRequest struct{}

// GetReply carries the newest configuration if Known is true. If the receiver is not the
// leader, Leader is the address of the leader, if known.
type GetReply struct {
	Known   bool
	Leader  string
	Version uint64
	Body    []byte
}

// HandOverRequest asks the leader to give the vote of a control instance that is about to stop to
// another one.
type HandOverRequest struct {
	Member uint64 // ID of the instance as a member of the log
}

// HandOverReply tells whether the instance no longer votes, or cannot be replaced. If the receiver
// is not the leader, Leader is the address of the leader, if known.
type HandOverReply struct {
	Done   bool
	Leader string
}

// AdmitRequest asks the leader whether a backend server that has started may receive commits.
type AdmitRequest struct{ Server roster.Entry }

// AdmitReply tells whether it may.
type AdmitReply struct{ Admitted bool }

// Handler serves the calls at a control instance.
type Handler interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Put(ctx context.Context, in *PutRequest) (*PutReply, error)
	Get(ctx context.Context, in *GetRequest) (*GetReply, error)
	Prove(ctx context.Context, in *ProveRequest) (*ProveReply, error)
	Fetch(ctx context.Context, in *FetchRequest) (*FetchReply, error)
	HandOver(ctx context.Context, in *HandOverRequest) (*HandOverReply, error)
	Caps(ctx context.Context, in *caps.Ask) (*CapsReply, error)
	Admit(ctx context.Context, in *AdmitRequest) (*AdmitReply, error)
}

// Names of the drpc methods.
const (
	callSync     = "/mesh.Control/Sync"
	callPut      = "/mesh.Control/Put"
	callGet      = "/mesh.Control/Get"
	callProve    = "/mesh.Control/Prove"
	callFetch    = "/mesh.Control/Fetch"
	callHandOver = "/mesh.Control/HandOver"
	callAdmit    = "/mesh.Control/Admit"
)

// Meter receives the size in bytes of a message as it is sent, and how long its encoding or
// decoding took.
type Meter func(size int, took time.Duration)

// encoding is JSON, compressed where it is large: lists of backend servers and of peers have to
// cross a network link of 2 Mbit/s without delaying the requests on it.
type encoding struct {
	encoded, decoded Meter // nil if not measured
}

func (m Meter) record(size int, start time.Time) {
	if m != nil {
		m(size, time.Since(start))
	}
}

// compressMinSize is the size in bytes below which compression costs more than it saves.
const compressMinSize = 1 << 10

// Values of the first byte of a message.
const (
	formatPlain = 'p'
	formatGzip  = 'z'
)

// Marshal encodes a message.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) {
	start := time.Now()
	data, err := marshal(msg)
	e.encoded.record(len(data), start)
	return data, err
}

// Unmarshal decodes a message.
func (e encoding) Unmarshal(data []byte, msg drpc.Message) error {
	start := time.Now()
	err := unmarshal(data, msg)
	e.decoded.record(len(data), start)
	return err
}

// gzipWriters holds *gzip.Writer. Each has tables of 800 KB, which are expensive to allocate.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func marshal(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(data) < compressMinSize {
		return append([]byte{formatPlain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatGzip)
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(&out)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// binaryEncoding is CBOR, which suits bytes that are compressed already.
type binaryEncoding struct{ meters encoding }

// Marshal encodes a message.
func (e binaryEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	start := time.Now()
	data, err := cbor.Marshal(msg)
	e.meters.encoded.record(len(data), start)
	return data, err
}

// Unmarshal decodes a message.
func (e binaryEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	start := time.Now()
	err := cbor.Unmarshal(data, msg)
	e.meters.decoded.record(len(data), start)
	return err
}

// maxMessageSize bounds a decompressed message, in bytes.
const maxMessageSize = 16 << 20

func unmarshal(data []byte, msg drpc.Message) error {
	if len(data) == 0 {
		return eris.New("mesh: empty message")
	}
	if data[0] == formatPlain {
		return json.Unmarshal(data[1:], msg)
	}
	z, err := gzip.NewReader(bytes.NewReader(data[1:]))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxMessageSize))
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, msg)
}

// description lists the methods for drpc.
type description struct{ encoding encoding }

// NumMethods returns the number of methods.
func (description) NumMethods() int { return 8 }

// Method describes the method with number n.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return callSync, d.encoding, receiver(Handler.Sync), Handler.Sync, true
	case 1:
		return callPut, d.encoding, receiver(Handler.Put), Handler.Put, true
	case 2:
		return callGet, d.encoding, receiver(Handler.Get), Handler.Get, true
	case 3:
		return callProve, d.encoding, receiver(Handler.Prove), Handler.Prove, true
	case 4:
		return callFetch, binaryEncoding{d.encoding}, receiver(Handler.Fetch), Handler.Fetch, true
	case 5:
		return callHandOver, d.encoding, receiver(Handler.HandOver), Handler.HandOver, true
	case 6:
		return callCaps, binaryEncoding{d.encoding}, receiver(Handler.Caps), Handler.Caps, true
	case 7:
		return callAdmit, d.encoding, receiver(Handler.Admit), Handler.Admit, true
	default:
		return "", nil, nil, nil, false
	}
}

func receiver[In, Out any](f func(Handler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		h, ok := srv.(Handler)
		in, fits := in1.(*In)
		if !ok || !fits {
			return nil, eris.New("mesh: drpc passed a message of the wrong type")
		}
		return f(h, ctx, in)
	}
}

// Register registers the drpc methods of a handler with mux. sent is the meter of the messages
// that the handler sends, or nil.
func Register(mux *drpcmux.Mux, h Handler, sent Meter) error {
	return mux.Register(h, description{encoding{encoded: sent}})
}

// DialFunc opens a connection to another instance.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client calls one instance, one call at a time. It keeps its connection for the next call.
type Client struct {
	addr     string
	dial     DialFunc
	encoding encoding

	overlapping bool // attempts to connect and to call overlap

	mu   sync.Mutex
	conn *drpcconn.Conn
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithReceived sets the meter of the messages that the client receives.
func WithReceived(m Meter) ClientOption { return func(c *Client) { c.encoding.decoded = m } }

// WithOverlappingAttempts lets each attempt to connect, and each attempt to call, last until the
// limit of the call. Another one starts beside it after a while. A link on which packets wait for
// seconds still serves calls, and a silent connection does not delay them much.
func WithOverlappingAttempts() ClientOption { return func(c *Client) { c.overlapping = true } }

// NewClient returns a client of the instance at addr.
func NewClient(addr string, dial DialFunc, opts ...ClientOption) *Client {
	c := &Client{addr: addr, dial: dial}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Addr returns the address of the instance.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection. It waits for a call in flight.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection. The caller holds c.mu.
func (c *Client) closeLocked() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// dialTimeout bounds the opening of a connection between instances. While a machine is down
// it answers nothing, and TCP retransmits the first packet only after a second. A new attempt
// reaches the machine sooner once it is back.
const dialTimeout = 200 * time.Millisecond

func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	if c.overlapping {
		nc, err := dialOverlapping(ctx, c.dial, c.addr)
		if tc, ok := nc.(*net.TCPConn); ok && err == nil {
			setConnUserTimeout(tc, queueUserTimeout)
		}
		return nc, err
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	return c.dial(ctx, c.addr)
}

// call makes one drpc call.
func call[Out any](ctx context.Context, c *Client, name string, enc drpc.Encoding, in any) (*Out, error) {
	return callAfter[Out](ctx, c, name, enc, in, attemptInterval)
}

// callAfter makes one drpc call. If attempts overlap, another one starts whenever none has been
// answered for interval. It closes a connection on which a call failed, because the connection
// may be silent.
func callAfter[Out any](ctx context.Context, c *Client, name string, enc drpc.Encoding, in any, interval time.Duration) (*Out, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.conn
	c.conn = nil
	invoke := func(ctx context.Context, conn *drpcconn.Conn, out *Out) error {
		return conn.Invoke(ctx, name, enc, in, out)
	}
	var r invokeResult[Out]
	if c.overlapping {
		r = invokeOverlapping(ctx, kept, c.open, invoke, interval)
	} else {
		r = invokeOnce(ctx, kept, c.open, invoke)
	}
	if r.err != nil {
		return nil, eris.Wrapf(r.err, "mesh: call %s at %s", name, c.addr)
	}
	c.conn = r.conn
	return r.out, nil
}

// open opens a drpc connection.
func (c *Client) open(ctx context.Context) (*drpcconn.Conn, error) {
	nc, err := c.connect(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	return drpcconn.New(nc), nil
}

// syncAnswerMargin is how long after its wait a Sync call may go unanswered before another attempt
// starts.
const syncAnswerMargin = 600 * time.Millisecond

// Sync sends the state of this instance and returns what is newer at the other one.
func (c *Client) Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error) {
	return callAfter[SyncReply](ctx, c, callSync, c.encoding, in, in.Wait+syncAnswerMargin)
}

// Put asks the instance to store a configuration.
func (c *Client) Put(ctx context.Context, in *PutRequest) (*PutReply, error) {
	return call[PutReply](ctx, c, callPut, c.encoding, in)
}

// Get asks the instance for the newest configuration.
func (c *Client) Get(ctx context.Context, in *GetRequest) (*GetReply, error) {
	return call[GetReply](ctx, c, callGet, c.encoding, in)
}

// Prove asks the instance for a proof of primary.
func (c *Client) Prove(ctx context.Context, in *ProveRequest) (*ProveReply, error) {
	return call[ProveReply](ctx, c, callProve, c.encoding, in)
}

// Fetch asks the instance for a part of an encoded version of the configuration.
func (c *Client) Fetch(ctx context.Context, in *FetchRequest) (*FetchReply, error) {
	return call[FetchReply](ctx, c, callFetch, binaryEncoding{c.encoding}, in)
}

// Admit asks the instance, which has to be the leader, to admit a backend server.
func (c *Client) Admit(ctx context.Context, in *AdmitRequest) (*AdmitReply, error) {
	return call[AdmitReply](ctx, c, callAdmit, c.encoding, in)
}

// HandOver asks the instance to give the vote of another one away.
func (c *Client) HandOver(ctx context.Context, in *HandOverRequest) (*HandOverReply, error) {
	return call[HandOverReply](ctx, c, callHandOver, c.encoding, in)
}
