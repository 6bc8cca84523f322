// Package ctrl implements the control role of an instance. A Node is one member of
// the replicated control log: it drives the Raft core, saves its state to disk,
// sends its messages and applies committed commands to the state machine. While it
// is the leader, it supervises the primaries of the databases.
package ctrl

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
	"tamarackcross/state"
	"tamarackcross/store"
)

// DialFunc opens a connection to another instance or to a backend server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

const (
	eventQueueLen   = 1024 // capacity of the event queue
	maxBatchEvents  = 64   // events that share one sync to disk
	snapshotEntries = 4096 // entries applied between two snapshots, at most
	// A snapshot is taken once the entries since the last one are snapshotRatio times as large as
	// that one, within limits in bytes. A new member receives the snapshot and these entries.
	snapshotRatio    = 4
	minSnapshotBytes = 512 << 10
	maxSnapshotBytes = 8 << 20
	maxSleep         = time.Hour // time between two wake-ups if nothing is due
	proposeTimeout   = 3 * time.Second
	helloInterval    = 100 * time.Millisecond
)

// Errors of the control role. ErrNotLeader proves that a command was not accepted.
// After ErrOutcomeUnknown it may have been committed or may still be.
var (
	ErrNotLeader      = eris.New("this member is not the leader")
	ErrOutcomeUnknown = eris.New("outcome of the command is unknown: the member lost the leadership or stopped, or the call timed out")
	ErrStopped        = eris.New("the control role has stopped")
)

// Node is one member of the control log.
type Node struct {
	name           string
	zone           string
	addr           string
	password       string   // of the control role at backend servers
	initial        []string // addresses of the members that bootstrap the log
	dial           DialFunc
	log            zerolog.Logger
	publish        func(state.Delta)
	restore        func(*state.View)
	newDuties      dutiesFactory
	now            func() time.Time
	ledger         Ledger // used instead of machine if set
	openMembership bool   // members at addresses outside initial may join
	mayBootstrap   bool   // the deployment starts for the first time
	neededVoters   int    // fewer would not survive as many lost disks as the deployment has to

	store     *store.Store
	id        raft.ID // copy of the ID in store, which only the loop may use
	machine   *state.Machine
	events    chan event
	transport *transport

	// The fields from here to leaving are used by the loop alone.
	core                 *raft.Node
	proposals            map[raft.Index]pendingProposal
	pendingReads         map[uint64]chan raft.ReadResult
	lastReadID           uint64
	appliedSinceSnapshot uint64 // entries applied since the last snapshot
	bytesSinceSnapshot   int    // of these entries
	snapshotSize         int    // of the last snapshot, in bytes
	// appliedIndex is the index of the newest entry applied to the state.
	appliedIndex       raft.Index
	duties             leaderDuties
	lastMembershipStep time.Time
	changeProposed     bool // a membership change that this member proposed may need another one after it
	silence            silenceRecord
	voters             []raft.ID             // of the last status
	voterRemovedAt     time.Time             // when one of them was removed last, or zero
	leaving            map[raft.ID]time.Time // members that announced their stop, and until when that counts

	mu         sync.Mutex
	status     raft.Status
	discovered raft.Members // members reported by others, for a member that joins

	ctx         context.Context
	cancel      context.CancelFunc
	joining     context.Context // ends when this member no longer asks to be added
	stopJoining context.CancelFunc
	wg          conc.WaitGroup
	done        chan struct{} // closed at the end of the loop
	err         error         // valid once done is closed
}

// event is an input of the loop. It is called with the time at which it is handled.
type event func(now time.Time) raft.Output

// pendingProposal is a proposal that is not committed yet.
type pendingProposal struct {
	term   raft.Term
	result chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

// Ledger is a state machine that is used instead of state.Machine. The loop of the
// member calls it. It must do its own locking against other readers.
type Ledger interface {
	// Apply applies a committed command and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// leaderDuties is the work of a leader besides replication. The loop calls it.
type leaderDuties interface {
	// Tick does what is due. It is called only while a majority confirms that this
	// member leads.
	Tick(now time.Time)
	// Reset discards all state. It is called while this member is not the leader.
	Reset()
	// NextTick returns when Tick must be called next.
	NextTick(now time.Time) time.Time
}

type dutiesFactory func(*Node) leaderDuties

// membershipDuties changes the membership of the log only. It is used with a Ledger.
type membershipDuties struct{ n *Node }

func (u membershipDuties) Tick(now time.Time)               { u.n.scheduleMembershipStep(now) }
func (u membershipDuties) Reset()                           {}
func (u membershipDuties) NextTick(now time.Time) time.Time { return now.Add(membershipInterval) }

// Open opens the data directory and starts the member. addr is the address at
// which the other instances reach it.
func Open(dataDir, addr string, opts ...Option) (*Node, error) {
	n := &Node{
		addr:         addr,
		log:          zerolog.Nop(),
		publish:      func(state.Delta) {},
		restore:      func(*state.View) {},
		newDuties:    newPromoter,
		now:          time.Now,
		mayBootstrap: true,
		neededVoters: minOddVoters,
		silence:      make(silenceRecord),
		leaving:      make(map[raft.ID]time.Time),
		machine:      state.New(),
		events:       make(chan event, eventQueueLen),
		proposals:    make(map[raft.Index]pendingProposal),
		pendingReads: make(map[uint64]chan raft.ReadResult),
		done:         make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	var storeOpts []store.Option
	if n.mayBootstrap {
		storeOpts = append(storeOpts, store.WithFounder())
	}
	st, saved, err := store.Open(dataDir, storeOpts...)
	if err != nil {
		return nil, err
	}
	n.store, n.id = st, st.Identity()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.joining, n.stopJoining = context.WithCancel(n.ctx)
	n.transport = newTransport(n)
	go func() {
		defer close(n.done)
		n.err = n.run(saved)
	}()
	return n, nil
}

// Done returns a channel that is closed when the loop of the member has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the fault that ended the loop, or nil if Close ended it. It is valid
// once the channel of Done is closed.
func (n *Node) Err() error { return n.err }

// Close stops the member and waits for its goroutines to end.
func (n *Node) Close() error {
	n.cancel()
	n.transport.close()
	<-n.done
	err := n.err
	n.wg.Wait()
	if closeErr := n.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Machine returns the state machine. Its View may be read from any goroutine.
func (n *Node) Machine() *state.Machine { return n.machine }

// Identity returns the member ID. A member whose data directory is lost gets a new
// one.
func (n *Node) Identity() raft.ID { return n.id }

// Status returns the status of the member after the last event.
func (n *Node) Status() raft.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// run bootstraps a new log and then handles events until Close.
func (n *Node) run(saved raft.PersistentState) error {
	defer n.cancel()
	saved, err := n.bootstrap(saved)
	if err != nil || n.ctx.Err() != nil {
		return err
	}
	if n.core, err = raft.New(saved, n.now()); err != nil {
		return err
	}
	if err := n.restoreSaved(saved); err != nil {
		return err
	}
	n.duties = n.newDuties(n)
	n.wg.Go(n.join)
	return n.loop()
}

// restoreSaved restores the state from the saved snapshot. Later entries are applied
// once they are known to be committed.
func (n *Node) restoreSaved(saved raft.PersistentState) error {
	if len(saved.Snapshot.Data) == 0 {
		return nil
	}
	return n.restoreSnapshot(saved.Snapshot)
}

// restoreSnapshot replaces the state by the content of a snapshot.
func (n *Node) restoreSnapshot(snap raft.Snapshot) error {
	n.appliedIndex, n.snapshotSize = snap.Index, len(snap.Data)
	if n.ledger != nil {
		return eris.Wrap(n.ledger.Restore(snap.Data), "snapshot")
	}
	if err := n.machine.Restore(snap.Data); err != nil {
		return eris.Wrap(err, "snapshot")
	}
	n.restore(n.machine.View())
	return nil
}

func (n *Node) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var now time.Time
		select {
		case <-n.ctx.Done():
			return nil
		case ev := <-n.events:
			now = n.now()
			if err := n.handle(n.runQueued(ev, now), now); err != nil {
				return err
			}
		case <-timer.C:
			now = n.now()
			if err := n.handle([]raft.Output{n.core.Tick(now)}, now); err != nil {
				return err
			}
		}
		n.tickDuties(now)
		timer.Reset(n.untilNextTick(now))
	}
}

// runQueued runs first and the events that are queued, so that they share one sync.
func (n *Node) runQueued(first event, now time.Time) []raft.Output {
	outs := []raft.Output{first(now)}
	for len(outs) < maxBatchEvents {
		select {
		case ev := <-n.events:
			outs = append(outs, ev(now))
		default:
			return outs
		}
	}
	return outs
}

// handle saves the outputs to disk and then acts on them.
func (n *Node) handle(outs []raft.Output, now time.Time) error {
	var persist []raft.PersistentUpdate
	for _, out := range outs {
		if out.Fault != nil {
			return out.Fault
		}
		if !out.Persist.Empty() {
			persist = append(persist, out.Persist)
		}
	}
	if len(persist) > 0 {
		if err := n.store.Save(persist...); err != nil {
			return err
		}
	}
	for _, out := range outs {
		n.transport.send(out.Messages)
		if err := n.apply(out); err != nil {
			return err
		}
	}
	n.publishStatus(now)
	return n.compact(now)
}

// apply applies committed entries and completes the proposals and reads that wait
// for them.
func (n *Node) apply(out raft.Output) error {
	if out.Restore != nil {
		if err := n.restoreSnapshot(*out.Restore); err != nil {
			return err
		}
	}
	for _, e := range out.Committed {
		if err := n.applyEntry(e); err != nil {
			return err
		}
	}
	for _, r := range out.Reads {
		if ch, ok := n.pendingReads[r.Request]; ok {
			ch <- r
			delete(n.pendingReads, r.Request)
		}
	}
	return nil
}

func (n *Node) applyEntry(e raft.Entry) error {
	n.appliedSinceSnapshot++
	n.bytesSinceSnapshot += len(e.Data)
	n.appliedIndex = e.Index
	var outcome proposalResult
	if e.Kind == raft.KindData {
		result, err := n.applyData(e)
		if err != nil {
			return eris.Wrapf(err, "control log entry %d cannot be applied", e.Index)
		}
		outcome.value = result
	}
	w, ok := n.proposals[e.Index]
	if !ok {
		return nil
	}
	delete(n.proposals, e.Index)
	if w.term != e.Term {
		outcome = proposalResult{err: ErrOutcomeUnknown}
	}
	w.result <- outcome
	return nil
}

func (n *Node) applyData(e raft.Entry) (any, error) {
	if n.ledger != nil {
		return n.ledger.Apply(uint64(e.Index), e.Data), nil
	}
	cmd, err := state.DecodeCommand(e.Data)
	if err != nil {
		return nil, err
	}
	out := n.machine.Apply(state.Stamp{Term: uint64(e.Term), Index: uint64(e.Index)}, cmd)
	if len(out.Delta.Changes) > 0 {
		n.publish(out.Delta)
	}
	return out.Result, nil
}

// publishStatus updates the status that Status returns. If the member is not the
// leader, it fails the pending proposals with ErrOutcomeUnknown: another leader may
// still commit them.
func (n *Node) publishStatus(now time.Time) {
	st := n.core.Status(now)
	n.mu.Lock()
	was := n.status
	n.status = st
	n.mu.Unlock()
	n.recordVoters(st.Members.Voters(), now)
	if was.Role != st.Role || was.Leader != st.Leader {
		n.log.Info().Str("role", st.Role.String()).Uint64("term", uint64(st.Term)).
			Str("leader", st.Leader.String()).Msg("control role changed")
	}
	if st.Role == raft.Leader {
		return
	}
	for i, w := range n.proposals {
		delete(n.proposals, i)
		w.result <- proposalResult{err: ErrOutcomeUnknown}
	}
}

// compact takes a snapshot if enough entries were applied since the last one.
func (n *Node) compact(now time.Time) error {
	enough := min(max(snapshotRatio*n.snapshotSize, minSnapshotBytes), maxSnapshotBytes)
	if n.appliedSinceSnapshot < snapshotEntries && n.bytesSinceSnapshot < enough {
		return nil
	}
	n.appliedSinceSnapshot, n.bytesSinceSnapshot = 0, 0
	index, data := n.appliedIndex, []byte(nil)
	if n.ledger != nil {
		data = n.ledger.Snapshot()
	} else {
		index, data = raft.Index(n.machine.Applied().Index), n.machine.Snapshot()
	}
	n.snapshotSize = len(data)
	out, err := n.core.Compact(index, data, now)
	if err != nil {
		n.log.Warn().Err(err).Msg("control log was not compacted: the snapshot was rejected")
		return nil
	}
	return n.handle([]raft.Output{out}, now)
}

// tickDuties runs the duties of a leader. They do nothing until a majority has
// confirmed the leadership.
func (n *Node) tickDuties(now time.Time) {
	st := n.Status()
	if st.Role != raft.Leader {
		n.duties.Reset()
		return
	}
	if st.Current {
		n.duties.Tick(now)
	}
}

// untilNextTick returns how long the loop may sleep if no event arrives.
func (n *Node) untilNextTick(now time.Time) time.Duration {
	next := n.core.NextTick(now)
	if st := n.Status(); st.Role == raft.Leader {
		if d := n.duties.NextTick(now); !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	if next.IsZero() {
		return maxSleep
	}
	return max(time.Millisecond, next.Sub(n.now()))
}

// enqueue adds an event to the queue of the loop.
func (n *Node) enqueue(ctx context.Context, ev event) error {
	select {
	case n.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrStopped
	}
}

// Propose submits a command and waits for its result. ErrNotLeader proves that the
// command was not accepted; after ErrOutcomeUnknown that is not known.
func (n *Node) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	result, err := n.ProposeData(ctx, data)
	if err != nil {
		return nil, err
	}
	r, ok := result.(state.Result)
	if !ok {
		return nil, eris.Errorf("applied command returned %v, not a result of the state machine", result)
	}
	return r, nil
}

// ProposeData submits an encoded command, with the errors of Propose.
func (n *Node) ProposeData(ctx context.Context, data []byte) (any, error) {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	w := pendingProposal{result: make(chan proposalResult, 1)}
	if err := n.enqueue(ctx, func(now time.Time) raft.Output { return n.propose(data, w, now) }); err != nil {
		return nil, ErrNotLeader
	}
	select {
	case p := <-w.result:
		return p.value, p.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-n.ctx.Done():
		return nil, ErrOutcomeUnknown
	}
}

func (n *Node) propose(data []byte, w pendingProposal, now time.Time) raft.Output {
	i, out, err := n.core.Propose(data, now)
	if err != nil {
		w.result <- proposalResult{err: eris.Wrap(ErrNotLeader, err.Error())}
		return out
	}
	w.term = n.core.Status(now).Term
	n.proposals[i] = w
	return out
}

// ConfirmLeadership returns once a majority has confirmed that this member is the
// leader and its state contains everything committed before the call.
func (n *Node) ConfirmLeadership(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	ch := make(chan raft.ReadResult, 1)
	err := n.enqueue(ctx, func(now time.Time) raft.Output { return n.startRead(ch, now) })
	if err != nil {
		return err
	}
	select {
	case r := <-ch:
		if !r.Confirmed {
			return ErrNotLeader
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrStopped
	}
}

func (n *Node) startRead(ch chan raft.ReadResult, now time.Time) raft.Output {
	n.lastReadID++
	n.pendingReads[n.lastReadID] = ch
	out, err := n.core.ReadIndex(n.lastReadID, now)
	if err != nil {
		delete(n.pendingReads, n.lastReadID)
		ch <- raft.ReadResult{}
	}
	return out
}

// step passes a message of another member to the Raft core.
func (n *Node) step(ctx context.Context, m *ctlpb.RaftMessage) error {
	msg, err := raft.FromProto(m)
	if err != nil {
		return err
	}
	return n.enqueue(ctx, func(now time.Time) raft.Output {
		if n.core == nil {
			return raft.Output{}
		}
		return n.core.Step(msg, now)
	})
}
