package entry

import (
	"time"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/group"
	"tamarackcross/shape"
)

// request is one unit of work of a caller: a simple query or a batch of the
// extended protocol. It is admitted, routed, executed and settled as a whole.
type request struct {
	simple   string    // text of a simple query, or
	msgs     []message // messages of a batch
	ready    bool      // a batch ends with ReadyForQuery
	open     bool      // a batch that ends with Flush and has a portal
	describe bool      // nothing of the batch executes

	stmts       []shape.Statement
	write       bool
	wrote       bool // this request or its transaction writes
	begins      bool // opens a transaction that outlives the request
	readOnly    bool // of the transaction that it opens
	ends        bool // holds COMMIT or ROLLBACK
	commits     bool // holds COMMIT
	pins        bool // leaves state on the connection
	fingerprint uint64
	policy      fleet.Settings
	arrived     time.Time
	deadline    time.Time

	need        group.Position // position that the snapshot of a read must hold
	term        uint64         // of the group at the last attempt
	usual       time.Duration  // in which nearly all statements of this shape end, or 0
	unowned     bool           // the last member had no owner to hand out its slots
	attempts    int
	tried       []string
	latest      bool // the bound is the newest acknowledged write
	primaryOnly bool // a replica was found to be below the bound
	cancelSent  bool // the deadline passed and a cancel request was sent
}

// newRequest classifies the statements of a request.
func (c *session) newRequest(stmts []shape.Statement) *request {
	now := time.Now()
	r := &request{stmts: stmts, ready: true, arrived: now}
	for _, st := range stmts {
		r.add(st)
	}
	r.policy = c.srv.policies.Resolve(c.scope(r.fingerprint))
	limit := r.policy.Deadline
	if c.set.deadline > 0 {
		limit = c.set.deadline
	}
	r.deadline = now.Add(limit)
	return r
}

func (r *request) add(st shape.Statement) {
	if r.fingerprint == 0 {
		r.fingerprint = st.Fingerprint()
	}
	r.pins = r.pins || st.Pins()
	switch st.Kind() {
	case shape.Begin:
		r.begins, r.readOnly = true, st.ReadOnly()
	case shape.Commit:
		r.ends, r.commits = true, true
		r.begins = st.Chain()
	case shape.Rollback:
		r.ends = true
		r.begins = st.Chain()
	case shape.Read, shape.Show, shape.Set, shape.Empty:
	default:
		// DISCARD ALL changes no data and must not run inside the transaction of
		// an idempotency key.
		r.write = r.write || !discards(st)
	}
	r.wrote = r.wrote || r.write
}

// check refuses what the proxy does not carry.
func (r *request) check() error {
	for _, st := range r.stmts {
		if st.Kind() == shape.Copy {
			return errs.New(errs.NotRun, errs.ReasonUnsupported, "COPY is not supported by the proxy")
		}
	}
	return nil
}

// onPrimary reports whether only the primary may serve the request outside a
// transaction.
func (r *request) onPrimary() bool {
	return r.write || r.open || r.begins && !r.readOnly
}

// acknowledges reports whether the answer to the request tells the caller that
// a write has been committed.
func (r *request) acknowledges(tx *openTx) bool {
	if tx != nil {
		return r.commits
	}
	return r.write && !r.open || r.commits
}
