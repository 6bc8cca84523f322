// Package relay carries requests from the instance that a caller reached to one
// that holds the connections to the backend servers: one drpc stream for each unit
// of work at a time, with CBOR messages.
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

// The names of the calls.
const (
	callServe = "/relay.Holder/Serve"
	callPing  = "/relay.Holder/Ping"
	callProof = "/relay.Holder/Newest"
)

// encoding is CBOR: rows may hold any bytes, and messages are small and many.
type encoding struct{}

// decoder accepts text that is not UTF-8: statements pass unchanged.
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

// kind is what a request asks for.
type kind uint8

const (
	kindRead kind = iota + 1
	kindWrite
	kindExecute
	kindCommit
	kindRollback
)

// begin says whether a transaction is opened first.
type begin uint8

const (
	beginNone begin = iota
	beginWrites
	beginReads
)

// hop is a request on its way to a holder. Durations are in nanoseconds.
type hop struct {
	_         struct{} `cbor:",toarray"`
	Fresh     bool
	Begin     begin
	Kind      kind
	ID        string
	Text      string
	Prepared  string
	Args      string
	ShapeText string
	Writes    bool // the shape writes
	Database  string
	User      string
	Service   string
	Freshness config.Freshness
	MaxAge    time.Duration
	Timeout   time.Duration
	Goal      time.Duration
	Priority  int
	Values    map[string]string
	OwnTerm   uint64
	OwnOffset uint64
	OwnAge    time.Duration
	Elapsed   time.Duration
}

// reply is the answer to a hop. Closed tells that no request was taken since the
// last answer and that none will be.
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
	Unproved  time.Duration
}

// ping is a question whether an instance answers.
type ping struct {
	_ struct{} `cbor:",toarray"`
}

// ask asks for the newest proof of a service.
type ask struct {
	_       struct{} `cbor:",toarray"`
	Service string
}

// proof carries it.
type proof struct {
	_      struct{} `cbor:",toarray"`
	Known  bool
	Member string
	Term   uint64
	Offset uint64
	Age    time.Duration
	Lags   map[string]time.Duration
}

var errKind = eris.New("relay: request of an unknown kind")

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
		return 0, errKind
	}
}

func (h *hop) statement() (proxy.Statement, error) {
	switch h.Kind {
	case kindRead:
		return proxy.Read{}, nil
	case kindWrite:
		return proxy.Write{}, nil
	case kindExecute:
		return proxy.Execute{Name: h.Prepared, Args: h.Args}, nil
	case kindCommit:
		return proxy.Commit{}, nil
	case kindRollback:
		return proxy.Rollback{}, nil
	default:
		return nil, errKind
	}
}

// encode renders a request.
func encode(d proxy.Delegated) (*hop, error) {
	k, err := kindOf(d.Request.Statement)
	if err != nil {
		return nil, err
	}
	h := &hop{
		Fresh: d.NewUnit, Kind: k, ID: d.Request.ID, Text: d.Request.Text,
		Prepared: d.PreparedName, ShapeText: d.PreparedStatement.Text, Writes: d.PreparedStatement.Writes, Database: d.Database, User: d.User,
		Service: d.Route.Service, Freshness: d.Route.Freshness, MaxAge: d.Route.MaxAge, Timeout: d.Route.Timeout,
		Goal: d.Route.Goal, Priority: d.Route.Priority, Values: d.Values,
		OwnTerm: d.LastCommit.Term, OwnOffset: d.LastCommit.Offset, OwnAge: d.LastCommitAge, Elapsed: d.Elapsed,
	}
	if e, ok := d.Request.Statement.(proxy.Execute); ok {
		h.Prepared, h.Args = e.Name, e.Args
	}
	if d.Begin != nil {
		h.Begin = beginWrites
		if d.Begin.ReadOnly {
			h.Begin = beginReads
		}
	}
	return h, nil
}

// decode reads a request.
func (h *hop) decode() (proxy.Request, error) {
	st, err := h.statement()
	if err != nil {
		return proxy.Request{}, err
	}
	d := &proxy.Delegated{
		NewUnit: h.Fresh, Database: h.Database, User: h.User, Values: h.Values,
		Route: config.Route{
			Database: h.Database, Service: h.Service, Freshness: h.Freshness, MaxAge: h.MaxAge,
			Timeout: h.Timeout, Goal: h.Goal, Priority: h.Priority,
		},
		PreparedName: h.Prepared, PreparedStatement: proxy.PreparedStatement{Writes: h.Writes, Text: h.ShapeText},
		LastCommit: group.Position{Term: h.OwnTerm, Offset: h.OwnOffset}, LastCommitAge: h.OwnAge, Elapsed: h.Elapsed,
	}
	if h.Begin != beginNone {
		d.Begin = &proxy.Begin{ReadOnly: h.Begin == beginReads}
	}
	return proxy.Request{ID: h.ID, Text: h.Text, Statement: st, Delegated: d}, nil
}

func encodeAnswer(a proxy.Answer) *reply {
	r := &reply{Rows: a.Rows, Signature: a.Signature, Status: a.Status, Term: a.Position.Term, Offset: a.Position.Offset, Unproved: a.ProofAge}
	if a.Fault != nil {
		r.Code, r.Text = a.Fault.Code, a.Fault.Text
	}
	return r
}

func (r *reply) answer() proxy.Answer {
	a := proxy.Answer{
		Rows: r.Rows, Signature: r.Signature, Status: r.Status, Position: group.Position{Term: r.Term, Offset: r.Offset},
		ProofAge: r.Unproved,
	}
	if r.Code != 0 {
		a.Fault = &proxy.Fault{Code: r.Code, Text: r.Text}
	}
	return a
}
