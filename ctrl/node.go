// Package ctrl is the control role: it drives the replicated log, applies it to
// the state machine, and runs the promotions while its member leads.
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
	inboxLen      = 1024      // events that wait for the loop
	batchLen      = 64        // events handled with one sync
	compactAfter  = 4096      // applied entries between snapshots
	maxTimer      = time.Hour // when nothing is due
	proposeLimit  = 3 * time.Second
	helloInterval = 100 * time.Millisecond
)

// Errors of the control role.
var (
	ErrNotLeader = eris.New("this member is not the leader")
	ErrLost      = eris.New("the leadership was lost before the command was committed")
	ErrStopped   = eris.New("the control role has stopped")
)

// Node is one member of the control log.
type Node struct {
	name     string
	zone     string
	addr     string
	password string   // of the control role at backend servers
	initial  []string // addresses of the members that bootstrap the log
	dial     DialFunc
	log      zerolog.Logger
	publish  func(state.Delta)
	restore  func(*state.View)
	leader   leaderFactory
	now      func() time.Time
	ledger   Ledger // replaces machine if set
	open     bool   // members outside initial may join
	forms    bool   // the initial members may bootstrap a new log

	store   *store.Store
	id      raft.ID // kept here because the loop writes the store
	machine *state.Machine
	inbox   chan event
	wires   *wires

	// Fields below belong to the loop, but for status.
	core     *raft.Node
	waiting  map[raft.Index]waiter
	reads    map[uint64]chan raft.ReadResult
	nextRead uint64
	applied  uint64 // entries since the last snapshot
	// appliedIndex is the newest entry that the state holds.
	appliedIndex raft.Index
	duties       duties
	tidied       time.Time
	silent       map[raft.ID]time.Time // since when voters have been silent, at the leader

	mu       sync.Mutex
	status   raft.Status
	contacts raft.Members // as other members named them, while this one joins

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	done   chan struct{} // closed at the end of the loop
	err    error         // valid once done is closed
}

// event is work for the loop. It runs with the time at which it is handled.
type event func(now time.Time) raft.Output

// waiter is a proposal that waits to be committed.
type waiter struct {
	term raft.Term
	done chan proposed
}

type proposed struct {
	result any
	err    error
}

// Ledger is a state machine that takes the place of that of the fleet. The loop
// of the member calls it; it guards itself against other readers.
type Ledger interface {
	// Apply carries out a committed command and returns its result.
	Apply(index uint64, command []byte) any
	Snapshot() []byte
	Restore(data []byte) error
}

// duties is what a leader does besides the log. The loop calls it.
type duties interface {
	// Tick acts on the state as of now. It is called only while this member leads
	// and is current.
	Tick(now time.Time)
	// Reset forgets everything: the leadership was lost or is new.
	Reset()
	// Next is when Tick is useful next.
	Next(now time.Time) time.Time
}

type leaderFactory func(*Node) duties

// upkeep is the duty of a leader towards the log itself.
type upkeep struct{ n *Node }

func (u upkeep) Tick(now time.Time)           { u.n.tidySoon(now) }
func (u upkeep) Reset()                       { clear(u.n.silent) }
func (u upkeep) Next(now time.Time) time.Time { return now.Add(joinInterval) }

// Open opens the data folder and starts the member. addr is the address under
// which the other instances reach it.
func Open(folder, addr string, opts ...Option) (*Node, error) {
	n := &Node{
		addr:    addr,
		log:     zerolog.Nop(),
		publish: func(state.Delta) {},
		restore: func(*state.View) {},
		leader:  newPromoter,
		now:     time.Now,
		forms:   true,
		silent:  make(map[raft.ID]time.Time),
		machine: state.New(),
		inbox:   make(chan event, inboxLen),
		waiting: make(map[raft.Index]waiter),
		reads:   make(map[uint64]chan raft.ReadResult),
		done:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	st, saved, err := store.Open(folder)
	if err != nil {
		return nil, err
	}
	n.store, n.id = st, st.Identity()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wires = newWires(n)
	go func() {
		defer close(n.done)
		n.err = n.run(saved)
	}()
	return n, nil
}

// Done returns a channel that is closed when the member has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the fault that ended the member, or nil after Close. It is valid
// once Done is closed.
func (n *Node) Err() error { return n.err }

// Close stops the member and waits for its goroutines.
func (n *Node) Close() error {
	n.cancel()
	n.wires.close()
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

// Identity returns the identity of the member, which changes when its data
// folder is lost.
func (n *Node) Identity() raft.ID { return n.id }

// Status returns the status after the last event.
func (n *Node) Status() raft.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// run bootstraps the log if it is new and handles events until Close.
func (n *Node) run(saved raft.PersistentState) error {
	defer n.cancel()
	saved, err := n.bootstrap(saved)
	if err != nil || n.ctx.Err() != nil {
		return err
	}
	if n.core, err = raft.New(saved, n.now()); err != nil {
		return err
	}
	if err := n.resume(saved); err != nil {
		return err
	}
	n.duties = n.leader(n)
	n.wg.Go(n.join)
	return n.loop()
}

// resume restores the state from the snapshot. Entries after it are applied
// when they are known to be committed.
func (n *Node) resume(saved raft.PersistentState) error {
	if len(saved.Snapshot.Data) == 0 {
		return nil
	}
	return n.adopt(saved.Snapshot)
}

// adopt replaces the state by that of a snapshot.
func (n *Node) adopt(snap raft.Snapshot) error {
	n.appliedIndex = snap.Index
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
		case ev := <-n.inbox:
			now = n.now()
			if err := n.handle(n.batch(ev, now), now); err != nil {
				return err
			}
		case <-timer.C:
			now = n.now()
			if err := n.handle([]raft.Output{n.core.Tick(now)}, now); err != nil {
				return err
			}
		}
		n.lead(now)
		timer.Reset(n.sleep(now))
	}
}

// batch runs the events that are there, so that they share one sync.
func (n *Node) batch(first event, now time.Time) []raft.Output {
	outs := []raft.Output{first(now)}
	for len(outs) < batchLen {
		select {
		case ev := <-n.inbox:
			outs = append(outs, ev(now))
		default:
			return outs
		}
	}
	return outs
}

// handle makes the outputs durable and then acts on them.
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
		n.wires.send(out.Messages)
		if err := n.apply(out); err != nil {
			return err
		}
	}
	n.publishStatus(now)
	return n.compact(now)
}

// apply carries out what was committed and answers those who wait for it.
func (n *Node) apply(out raft.Output) error {
	if out.Restore != nil {
		if err := n.adopt(*out.Restore); err != nil {
			return err
		}
	}
	for _, e := range out.Committed {
		if err := n.applyEntry(e); err != nil {
			return err
		}
	}
	for _, r := range out.Reads {
		if ch, ok := n.reads[r.Request]; ok {
			ch <- r
			delete(n.reads, r.Request)
		}
	}
	return nil
}

func (n *Node) applyEntry(e raft.Entry) error {
	n.applied++
	n.appliedIndex = e.Index
	var p proposed
	if e.Kind == raft.KindData {
		result, err := n.applyData(e)
		if err != nil {
			return eris.Wrapf(err, "entry %d", e.Index)
		}
		p.result = result
	}
	w, ok := n.waiting[e.Index]
	if !ok {
		return nil
	}
	delete(n.waiting, e.Index)
	if w.term != e.Term {
		p = proposed{err: ErrLost}
	}
	w.done <- p
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

// publishStatus makes the status readable and fails the proposals of a lost
// leadership: whether they will be committed is not known here.
func (n *Node) publishStatus(now time.Time) {
	st := n.core.Status(now)
	n.mu.Lock()
	was := n.status
	n.status = st
	n.mu.Unlock()
	if was.Role != st.Role || was.Leader != st.Leader {
		n.log.Info().Str("role", st.Role.String()).Uint64("term", uint64(st.Term)).
			Str("leader", st.Leader.String()).Msg("control role changed")
	}
	if st.Role == raft.Leader {
		return
	}
	for i, w := range n.waiting {
		delete(n.waiting, i)
		w.done <- proposed{err: ErrLost}
	}
}

// compact takes a snapshot when the log has grown.
func (n *Node) compact(now time.Time) error {
	if n.applied < compactAfter {
		return nil
	}
	n.applied = 0
	index, data := n.appliedIndex, []byte(nil)
	if n.ledger != nil {
		data = n.ledger.Snapshot()
	} else {
		index, data = raft.Index(n.machine.Applied().Index), n.machine.Snapshot()
	}
	out, err := n.core.Compact(index, data, now)
	if err != nil {
		n.log.Warn().Err(err).Msg("snapshot was not taken")
		return nil
	}
	return n.handle([]raft.Output{out}, now)
}

// lead lets the duties of a leader act. A member whose leadership is not
// confirmed by a majority does nothing.
func (n *Node) lead(now time.Time) {
	st := n.Status()
	if st.Role != raft.Leader {
		n.duties.Reset()
		return
	}
	if st.Current {
		n.duties.Tick(now)
	}
}

func (n *Node) sleep(now time.Time) time.Duration {
	next := n.core.NextTick(now)
	if st := n.Status(); st.Role == raft.Leader {
		if d := n.duties.Next(now); !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	if next.IsZero() {
		return maxTimer
	}
	return max(time.Millisecond, next.Sub(n.now()))
}

// post hands an event to the loop.
func (n *Node) post(ctx context.Context, ev event) error {
	select {
	case n.inbox <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrStopped
	}
}

// Propose submits a command and waits for its result. ErrNotLeader proves that
// it was not accepted; after ErrLost that is not known.
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
		return nil, eris.Errorf("command ended without a result: %v", result)
	}
	return r, nil
}

// ProposeData submits an encoded command, with the errors of Propose.
func (n *Node) ProposeData(ctx context.Context, data []byte) (any, error) {
	ctx, stop := context.WithTimeout(ctx, proposeLimit)
	defer stop()
	w := waiter{done: make(chan proposed, 1)}
	if err := n.post(ctx, func(now time.Time) raft.Output { return n.propose(data, w, now) }); err != nil {
		return nil, ErrNotLeader
	}
	select {
	case p := <-w.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, ErrLost
	case <-n.ctx.Done():
		return nil, ErrLost
	}
}

func (n *Node) propose(data []byte, w waiter, now time.Time) raft.Output {
	i, out, err := n.core.Propose(data, now)
	if err != nil {
		w.done <- proposed{err: eris.Wrap(ErrNotLeader, err.Error())}
		return out
	}
	w.term = n.core.Status(now).Term
	n.waiting[i] = w
	return out
}

// Confirm returns once a majority has confirmed that this member leads and its
// state holds everything committed before the call.
func (n *Node) Confirm(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, proposeLimit)
	defer stop()
	ch := make(chan raft.ReadResult, 1)
	err := n.post(ctx, func(now time.Time) raft.Output { return n.startRead(ch, now) })
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
	n.nextRead++
	n.reads[n.nextRead] = ch
	out, err := n.core.ReadIndex(n.nextRead, now)
	if err != nil {
		delete(n.reads, n.nextRead)
		ch <- raft.ReadResult{}
	}
	return out
}

// step hands a message of another member to the core.
func (n *Node) step(ctx context.Context, m *ctlpb.RaftMessage) error {
	msg, err := raft.FromProto(m)
	if err != nil {
		return err
	}
	return n.post(ctx, func(now time.Time) raft.Output {
		if n.core == nil {
			return raft.Output{}
		}
		return n.core.Step(msg, now)
	})
}
