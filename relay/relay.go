// Package relay forwards requests from the instance that serves the caller to a
// holder, which is an instance that keeps the connections to the backend servers of
// a service. A forwarded unit of work (a statement or a transaction) has a drpc stream
// to itself while it lasts. The messages are CBOR arrays.
package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"tamarackcross/config"
	"tamarackcross/group"
	"tamarackcross/proxy"
)

// Names of the drpc methods.
const (
	callServe = "/relay.Holder/Serve"
	callPing  = "/relay.Holder/Ping"
)

// encoding is CBOR. It suits many small messages, and rows may hold any bytes.
type encoding struct{}

// decoder accepts text that is not valid UTF-8, because statements are forwarded
// unchanged.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Marshal encodes a message.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes a message.
func (encoding) Unmarshal(data []byte, msg drpc.Message) error { return decoder.Unmarshal(data, msg) }

// kind is the kind of statement of a request.
type kind uint8

const (
	kindRead kind = iota + 1
	kindWrite
	kindExecute
	kindCommit
	kindRollback
)

// beginMode tells whether the holder opens a transaction before it runs the statement,
// and of which access mode.
type beginMode uint8

const (
	beginNone beginMode = iota
	beginReadWrite
	beginReadOnly
)

// forwardedRequest is the message that carries a request to a holder. The order, the
// number and the types of its fields are the wire format. Durations are in nanoseconds.
type forwardedRequest struct {
	_                struct{} `cbor:",toarray"`
	NewUnit          bool
	Begin            beginMode
	Kind             kind
	ID               string
	Text             string
	PreparedName     string
	Args             string
	PreparedText     string
	PreparedWrites   bool // the prepared statement writes
	Database         string
	Customer         string
	Weight           float64
	CustomerPriority int
	Caller           string
	Service          string
	Freshness        config.Freshness
	MaxAge           time.Duration
	Timeout          time.Duration
	LatencyGoal      time.Duration
	Priority         int
	Values           map[string]string
	LastCommitTerm   uint64
	LastCommitOffset uint64
	LastCommitAge    time.Duration
	Elapsed          time.Duration
	TokenAge         time.Duration
}

// reply is the answer to a forwardedRequest. Closed means that the holder has not
// processed any request since its last answer, and will not process another one.
type reply struct {
	_         struct{} `cbor:",toarray"`
	Closed    bool
	Rows      [][]byte
	Signature string
	Code      proxy.Code // 0 if there is no fault
	Text      string
	Status    proxy.Status
	Term      uint64
	Offset    uint64
	Proof     proof
	Load      int
	Width     int
}

// ping is both the request and the reply of a health probe.
type ping struct {
	_ struct{} `cbor:",toarray"`
}

// proof is the newest proof of primary of a holder. Member is empty if it has none.
type proof struct {
	_      struct{} `cbor:",toarray"`
	Member string
	Term   uint64
	Offset uint64
	Age    time.Duration
	Lags   map[string]time.Duration
}

var errUnknownKind = eris.New("relay: forwarded request has an unknown statement kind")

func kindOf(s proxy.Statement) (kind, error) {
	switch s.(type) {
	case proxy.Read:
		return kindRead, nil
	case proxy.Write:
		return kindWrite, nil
	case proxy.Execute:
		return kindExecute, nil
	case proxy.Commit:
		return kindCommit, nil
	case proxy.Rollback:
		return kindRollback, nil
	default:
		return 0, errUnknownKind
	}
}

func (h *forwardedRequest) statement() (proxy.Statement, error) {
	switch h.Kind {
	case kindRead:
		return proxy.Read{}, nil
	case kindWrite:
		return proxy.Write{}, nil
	case kindExecute:
		return proxy.Execute{Name: h.PreparedName, Args: h.Args}, nil
	case kindCommit:
		return proxy.Commit{}, nil
	case kindRollback:
		return proxy.Rollback{}, nil
	default:
		return nil, errUnknownKind
	}
}

// encode converts a request to its message.
func encode(d proxy.Forwarded) (*forwardedRequest, error) {
	k, err := kindOf(d.Request.Statement)
	if err != nil {
		return nil, err
	}
	h := &forwardedRequest{
		NewUnit: d.NewUnit, Kind: k, ID: d.Request.ID, Text: d.Request.Text,
		PreparedName: d.PreparedName, PreparedText: d.PreparedStatement.Text, PreparedWrites: d.PreparedStatement.Writes,
		Database: d.Database, Customer: d.Customer, Weight: d.Weight, CustomerPriority: d.CustomerPriority, Caller: d.Caller,
		Service: d.Route.Service, Freshness: d.Route.Freshness, MaxAge: d.Route.MaxAge, Timeout: d.Route.Timeout,
		LatencyGoal: d.Route.LatencyGoal, Priority: d.Route.Priority, Values: d.Values,
		LastCommitTerm: d.LastCommit.Term, LastCommitOffset: d.LastCommit.Offset, LastCommitAge: d.LastCommitAge,
		Elapsed: d.Elapsed, TokenAge: d.TokenAge,
	}
	if e, ok := d.Request.Statement.(proxy.Execute); ok {
		h.PreparedName, h.Args = e.Name, e.Args
	}
	if d.Begin != nil {
		h.Begin = beginReadWrite
		if d.Begin.ReadOnly {
			h.Begin = beginReadOnly
		}
	}
	return h, nil
}

// decode converts a message to the request that it carries.
func (h *forwardedRequest) decode() (proxy.Request, error) {
	st, err := h.statement()
	if err != nil {
		return proxy.Request{}, err
	}
	d := &proxy.Forwarded{
		NewUnit: h.NewUnit, Database: h.Database, Customer: h.Customer, Weight: h.Weight, CustomerPriority: h.CustomerPriority, Caller: h.Caller, Values: h.Values,
		Route: config.Route{
			Database: h.Database, Service: h.Service, Freshness: h.Freshness, MaxAge: h.MaxAge,
			Timeout: h.Timeout, LatencyGoal: h.LatencyGoal, Priority: h.Priority,
		},
		PreparedName:      h.PreparedName,
		PreparedStatement: proxy.PreparedStatement{Writes: h.PreparedWrites, Text: h.PreparedText},
		LastCommit:        group.Position{Term: h.LastCommitTerm, Offset: h.LastCommitOffset},
		LastCommitAge:     h.LastCommitAge, Elapsed: h.Elapsed, TokenAge: h.TokenAge,
	}
	if h.Begin != beginNone {
		d.Begin = &proxy.Begin{ReadOnly: h.Begin == beginReadOnly}
	}
	return proxy.Request{ID: h.ID, Text: h.Text, Statement: st, Forwarded: d}, nil
}

func encodeAnswer(a proxy.Answer) *reply {
	r := &reply{
		Rows: a.Rows, Signature: a.Signature, Status: a.Status, Term: a.Position.Term, Offset: a.Position.Offset,
		Load: a.Hint.Load, Width: a.Hint.Width,
	}
	if p := a.Proof; p != nil {
		r.Proof = proof{Member: p.Member, Term: p.Position.Term, Offset: p.Position.Offset, Age: p.Age, Lags: p.Lags}
	}
	if a.Fault != nil {
		r.Code, r.Text = a.Fault.Code, a.Fault.Text
	}
	return r
}

func (r *reply) answer() proxy.Answer {
	a := proxy.Answer{
		Rows: r.Rows, Signature: r.Signature, Status: r.Status, Position: group.Position{Term: r.Term, Offset: r.Offset},
		Hint: proxy.HolderHint{Load: r.Load, Width: r.Width},
	}
	if p := r.Proof; p.Member != "" {
		a.Proof = &proxy.Proof{Member: p.Member, Position: group.Position{Term: p.Term, Offset: p.Offset}, Age: p.Age, Lags: p.Lags}
	}
	if r.Code != 0 {
		a.Fault = &proxy.Fault{Code: r.Code, Text: r.Text}
	}
	return a
}
