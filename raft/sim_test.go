package raft_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

const (
	minDelay   = time.Millisecond
	maxDelay   = 5 * time.Millisecond
	normalPace = 10

	maxInFlight = 2000 // packets; more are a sign of messages that cause each other
)

var epoch = time.Unix(0, 0)

// host is a machine that runs one member at a time.
type host struct {
	disk   raft.Saved
	node   *raft.Node // nil while crashed
	frozen time.Time  // no input is handled before
	pace   int        // tenths of a second on its clock per second
	ahead  time.Duration
	index  raft.Index // applied
	digest uint64
}

type packet struct {
	from, to int // hosts
	due      time.Time
	msg      raft.Message
}

// sim runs members over a simulated network, disk and clock.
type sim struct {
	rnd       *rand.Rand
	now       time.Time
	hosts     []*host
	home      map[raft.ID]int
	bootstrap raft.Members
	net       []packet
	cut       map[[2]int]bool
	loss      float64 // chance that a packet is dropped
	disorder  float64 // chance that a packet is repeated or much delayed
	crash     float64 // chance of a crash around each write
	churn     bool    // the membership changes all the time
	opts      []raft.Option
	chk       *checker
	request   uint64
	bytes     int // sent
	messages  int
	events    []string // what callers were told
}

// newSim starts voters bootstrapped hosts and spare empty ones.
func newSim(seed uint64, voters, spare int, opts ...raft.Option) *sim {
	s := &sim{
		rnd:  rand.New(rand.NewPCG(seed, seed)),
		now:  epoch,
		home: map[raft.ID]int{},
		cut:  map[[2]int]bool{},
		opts: opts,
		chk:  newChecker(),
	}
	for range voters + spare {
		s.hosts = append(s.hosts, &host{})
		s.wipe(len(s.hosts) - 1)
	}
	for _, h := range s.hosts[:voters] {
		s.bootstrap = append(s.bootstrap, raft.Member{ID: h.disk.Hard.ID})
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk.Snapshot = raft.Bootstrap(s.bootstrap...)
		}
		s.start(i)
	}
	return s
}

// local returns what the clock of h shows at t.
func (h *host) local(t time.Time) time.Time {
	return epoch.Add(t.Sub(epoch)*time.Duration(h.pace)/normalPace + h.ahead)
}

// global is the first moment at which the clock of h shows at least t.
func (h *host) global(t time.Time) time.Time {
	pace := time.Duration(h.pace)
	return epoch.Add(((t.Sub(epoch)-h.ahead)*normalPace + pace - 1) / pace)
}

// fall crashes host i and, in half of the cases, restarts it at once.
func (s *sim) fall(i int) {
	s.hosts[i].node = nil
	if s.rnd.IntN(2) == 0 {
		s.start(i)
	}
}

// wipe loses the disk of host i. What starts there next is a new member.
func (s *sim) wipe(i int) {
	id := raft.ID(len(s.home) + 1)
	s.home[id] = i
	*s.hosts[i] = host{pace: normalPace, disk: raft.Saved{Hard: raft.HardState{ID: id}}}
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	if h.node != nil {
		return
	}
	seeded := raft.WithRand(rand.New(rand.NewPCG(s.rnd.Uint64(), 0)))
	n, err := raft.New(h.disk, h.local(s.now), append([]raft.Option{seeded}, s.opts...)...)
	if err != nil {
		s.chk.fail("start of host %d: %v", i+1, err)
		return
	}
	h.node = n
	h.restore(h.disk.Snapshot)
}

func (h *host) restore(snap raft.Snapshot) {
	h.index, h.digest = snap.Index, 0
	if len(snap.Data) > 0 {
		h.digest = binary.LittleEndian.Uint64(snap.Data)
	}
}

func (h *host) awake(now time.Time) bool { return h.node != nil && !now.Before(h.frozen) }

// write makes p durable on the disk.
func (h *host) write(p raft.Persist) {
	if p.Hard != nil {
		h.disk.Hard = *p.Hard
	}
	if p.Snapshot != nil {
		k := int(p.Snapshot.Index) - int(h.disk.Snapshot.Index)
		if k > len(h.disk.Entries) || h.disk.Entries[k-1].Term != p.Snapshot.Term {
			k = len(h.disk.Entries)
		}
		h.disk.Snapshot, h.disk.Entries = *p.Snapshot, h.disk.Entries[k:]
	}
	if len(p.Entries) > 0 {
		k := p.Entries[0].Index - h.disk.Snapshot.Index - 1
		h.disk.Entries = append(h.disk.Entries[:k:k], p.Entries...)
	}
}

// handle carries out an output, possibly with a crash before or after the
// write.
func (s *sim) handle(i int, out raft.Output) {
	h := s.hosts[i]
	if out.Fault != nil {
		s.chk.fail("host %d: %v", i+1, out.Fault)
		return
	}
	if !out.Persist.Empty() && s.rnd.Float64() < s.crash {
		s.fall(i)
		return
	}
	h.write(out.Persist)
	if es := out.Persist.Entries; len(es) > 0 {
		s.chk.persisted(h.disk, es[0].Index)
	}
	st := h.node.Status(h.local(s.now))
	if st.Role == raft.Leader {
		s.chk.leader(st.ID, st.Term, h.disk)
	}
	if !out.Persist.Empty() && s.rnd.Float64() < s.crash {
		s.fall(i)
		return
	}
	s.apply(h, out, st.Term)
	for _, m := range out.Messages {
		s.send(i, m)
	}
}

func (s *sim) apply(h *host, out raft.Output, term raft.Term) {
	if out.Restore != nil {
		h.restore(*out.Restore)
		s.chk.restored(*out.Restore, h.digest)
	}
	for _, e := range out.Committed {
		if e.Index != h.index+1 {
			s.chk.fail("entry %d was handed out after %d", e.Index, h.index)
		}
		h.index, h.digest = e.Index, digest(h.digest, e)
		s.chk.commit(e, term, h.digest)
	}
	for _, r := range out.Reads {
		s.chk.answered(r)
		s.events = append(s.events, fmt.Sprintf("read %d: index=%d confirmed=%v", r.Request, r.Index, r.Confirmed))
	}
}

// send passes m through its wire form into the network.
func (s *sim) send(from int, m raft.Message) {
	wire, err := proto.Marshal(raft.ToProto(m))
	if err != nil {
		s.chk.fail("encode: %v", err)
		return
	}
	s.bytes += len(wire)
	s.messages++
	to := s.home[m.Head().To]
	if s.cut[[2]int{from, to}] || s.rnd.Float64() < s.loss {
		return
	}
	var pb ctlpb.RaftMessage
	if err := proto.Unmarshal(wire, &pb); err != nil {
		s.chk.fail("decode: %v", err)
		return
	}
	msg, err := raft.FromProto(&pb)
	if err != nil {
		s.chk.fail("decode: %v", err)
		return
	}
	delay := minDelay + time.Duration(s.rnd.Int64N(int64(maxDelay-minDelay)))
	for s.rnd.Float64() < s.disorder {
		s.net = append(s.net, packet{from: from, to: to, due: s.now.Add(delay), msg: msg})
		delay += time.Duration(s.rnd.Int64N(int64(time.Second)))
	}
	s.net = append(s.net, packet{from: from, to: to, due: s.now.Add(delay), msg: msg})
}

// run lets d pass, handling packets and ticks when they are due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.chk.err == nil {
		at, k, tick := s.next(end)
		if k < 0 {
			break
		}
		if len(s.net) > maxInFlight {
			s.chk.fail("%d packets are in flight, the newest is %#v", len(s.net), s.net[len(s.net)-1].msg)
		}
		if at.After(s.now) {
			s.now = at
		}
		if tick {
			s.handle(k, s.hosts[k].node.Tick(s.hosts[k].local(s.now)))
			continue
		}
		p := s.net[k]
		s.net = append(s.net[:k], s.net[k+1:]...)
		if h := s.hosts[p.to]; h.node != nil && !s.cut[[2]int{p.from, p.to}] {
			s.handle(p.to, h.node.Step(p.msg, h.local(s.now)))
		}
	}
	s.now = end
}

// next finds the next packet or tick until end.
func (s *sim) next(end time.Time) (at time.Time, k int, tick bool) {
	at, k = end, -1
	for i, p := range s.net {
		if due := later(p.due, s.hosts[p.to].frozen); due.Before(at) {
			at, k = due, i
		}
	}
	for i, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if due := later(h.global(h.node.Next(h.local(s.now))), h.frozen); due.Before(at) {
			at, k, tick = due, i, true
		}
	}
	return at, k, tick
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// partition cuts all links between hosts of different groups.
func (s *sim) partition(group func(i int) int) {
	clear(s.cut)
	for i := range s.hosts {
		for j := range s.hosts {
			if group(i) != group(j) {
				s.cut[[2]int{i, j}] = true
			}
		}
	}
}

func (s *sim) propose(i int, data []byte) (raft.Index, error) {
	h := s.hosts[i]
	at, out, err := h.node.Propose(data, h.local(s.now))
	s.handle(i, out)
	return at, err
}

func (s *sim) change(i int, c raft.Change) error {
	h := s.hosts[i]
	_, out, err := h.node.ProposeChange(c, h.local(s.now))
	s.handle(i, out)
	return err
}

func (s *sim) read(i int) error {
	h := s.hosts[i]
	s.request++
	s.chk.asked(s.request)
	out, err := h.node.ReadIndex(s.request, h.local(s.now))
	s.handle(i, out)
	return err
}

func (s *sim) compact(i int) error {
	h := s.hosts[i]
	data := binary.LittleEndian.AppendUint64(nil, h.digest)
	out, err := h.node.Compact(h.index, append(data, make([]byte, 100)...), h.local(s.now))
	s.handle(i, out)
	return err
}

// leader returns the host of the leader with the highest term, or -1.
func (s *sim) leader() int {
	best, term := -1, raft.Term(0)
	for i, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if st := h.node.Status(h.local(s.now)); st.Role == raft.Leader && st.Term > term {
			best, term = i, st.Term
		}
	}
	return best
}

// String renders the state of every host.
func (s *sim) String() string {
	var b strings.Builder
	for i, h := range s.hosts {
		fmt.Fprintf(&b, "host %d id=%s ", i+1, h.disk.Hard.ID)
		if !h.awake(s.now) {
			b.WriteString("down\n")
			continue
		}
		st := h.node.Status(h.local(s.now))
		fmt.Fprintf(&b, "%s term=%d leader=%s commit=%d last=%d applied=%d members=", st.Role, st.Term, st.Leader, st.Commit, st.Last, h.index)
		for k, m := range st.Members {
			if k > 0 {
				b.WriteByte(',')
			}
			b.WriteString(m.ID.String())
			if m.Learner {
				b.WriteByte('?')
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}
