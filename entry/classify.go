package entry

import (
	"time"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/group"
	"tamarackcross/shape"
)

// request is one unit of work of a caller: a simple query or a batch of the
// extended protocol. It is admitted, routed, executed and answered as a whole.
type request struct {
	simple        string    // text of a simple query, if msgs is nil
	msgs          []message // messages of a batch, nil for a simple query
	endsWithReady bool      // answered with ReadyForQuery; false for a batch that ends with Flush
	keepsTxOpen   bool      // ends with Flush, and its implicit transaction stays open until Sync
	noExecute     bool      // the batch executes no statement

	stmts       []shape.Statement
	write       bool
	txWrites    bool // this request or its transaction writes
	beginsTx    bool // opens a transaction that stays open after the request
	readOnlyTx  bool // the transaction that it opens is read-only
	endsTx      bool // contains COMMIT or ROLLBACK
	commits     bool // contains COMMIT
	pins        bool // leaves session state on the connection
	fingerprint uint64
	policy      fleet.Settings
	arrived     time.Time
	deadline    time.Time

	requiredPosition group.Position // position that the snapshot of a read must cover
	term             uint64         // term of the group at the last attempt
	highDuration     time.Duration  // about the 95th percentile of the statement shape, 0 if unknown
	slotsUnowned     bool           // at the last attempt no instance granted slots of the member
	attempts         int
	excludedMembers  []string
	latest           bool // the read must see every acknowledged write, so the primary must be confirmed
	primaryOnly      bool // a replica was found to be behind the read bound
	cancelSent       bool // a cancel request was sent after the deadline
}

// newRequest classifies the statements of a request.
func (c *session) newRequest(stmts []shape.Statement) *request {
	now := time.Now()
	r := &request{stmts: stmts, endsWithReady: true, arrived: now}
	for _, st := range stmts {
		r.add(st)
	}
	r.policy = c.srv.policies.Resolve(c.scope(r.fingerprint))
	limit := r.policy.Deadline
	if c.settings.deadline > 0 {
		limit = c.settings.deadline
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
		r.beginsTx, r.readOnlyTx = true, st.ReadOnly()
	case shape.Commit:
		r.endsTx, r.commits = true, true
		r.beginsTx = st.Chain()
	case shape.Rollback:
		r.endsTx = true
		r.beginsTx = st.Chain()
	case shape.Read, shape.Show, shape.Set, shape.Empty:
	default:
		// DISCARD ALL changes no data and cannot run inside the transaction that
		// an idempotency key needs.
		r.write = r.write || !isDiscardAll(st)
	}
	r.txWrites = r.txWrites || r.write
}

// checkSupported refuses statements that the proxy does not support.
func (r *request) checkSupported() error {
	for _, st := range r.stmts {
		if st.Kind() == shape.Copy {
			return errs.New(errs.NotRun, errs.ReasonUnsupported, "COPY is not supported by the proxy")
		}
	}
	return nil
}

// needsPrimary reports whether only the primary may serve the request outside a
// transaction.
func (r *request) needsPrimary() bool {
	return r.write || r.keepsTxOpen || r.beginsTx && !r.readOnlyTx
}

// acknowledgesCommit reports whether the answer to the request tells the caller that
// a write has been committed.
func (r *request) acknowledgesCommit(tx *openTx) bool {
	if tx != nil {
		return r.commits
	}
	return r.write && !r.keepsTxOpen || r.commits
}
