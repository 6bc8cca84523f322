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
	minDelay        = time.Millisecond
	maxDelay        = 5 * time.Millisecond
	normalClockRate = 10

	maxPacketsInFlight = 2000 // more packets indicate messages that trigger each other endlessly
)

var epoch = time.Unix(0, 0)

// host is a machine that runs one member at a time.
type host struct {
	disk         raft.PersistentState
	node         *raft.Node    // nil while crashed
	frozenUntil  time.Time     // no input is handled before this time
	clockRate    int           // tenths of a second that its clock advances per second
	clockOffset  time.Duration // by how much its clock is ahead
	appliedIndex raft.Index    // last applied entry
	digest       uint64
}

type packet struct {
	from, to int // indexes of hosts
	due      time.Time
	msg      raft.Message
}

// sim runs members on a simulated network, disk and clock.
type sim struct {
	rnd             *rand.Rand
	now             time.Time
	hosts           []*host
	hostOf          map[raft.ID]int // index of the host on which a member was created
	bootstrap       raft.Members
	packets         []packet
	cutLinks        map[[2]int]bool // links that are down, by sender and receiver
	lossRate        float64         // probability that a packet is dropped
	duplicationRate float64         // probability that a packet is duplicated with a long delay
	crashRate       float64         // probability of a crash before and after each write
	constantChanges bool            // the membership is changed all the time
	opts            []raft.Option
	checker         *checker
	request         uint64
	bytesSent       int
	messagesSent    int
	events          []string // results of reads; scripts add errors and violations
}

// newSim starts the given number of bootstrapped voters and of empty spare hosts.
func newSim(seed uint64, voters, spare int, opts ...raft.Option) *sim {
	s := &sim{
		rnd:      rand.New(rand.NewPCG(seed, seed)),
		now:      epoch,
		hostOf:   map[raft.ID]int{},
		cutLinks: map[[2]int]bool{},
		opts:     opts,
		checker:  newChecker(),
	}
	for range voters + spare {
		s.hosts = append(s.hosts, &host{})
		s.wipe(len(s.hosts) - 1)
	}
	for _, h := range s.hosts[:voters] {
		s.bootstrap = append(s.bootstrap, raft.Member{ID: h.disk.HardState.ID})
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk.Snapshot = raft.Bootstrap(s.bootstrap...)
		}
		s.start(i)
	}
	return s
}

// local returns the time that the clock of h shows at simulated time t.
func (h *host) local(t time.Time) time.Time {
	return epoch.Add(t.Sub(epoch)*time.Duration(h.clockRate)/normalClockRate + h.clockOffset)
}

// global returns the first simulated time at which the clock of h shows at least
// t.
func (h *host) global(t time.Time) time.Time {
	rate := time.Duration(h.clockRate)
	return epoch.Add(((t.Sub(epoch)-h.clockOffset)*normalClockRate + rate - 1) / rate)
}

// crashHost crashes host i and, in half of the cases, restarts it at once.
func (s *sim) crashHost(i int) {
	s.hosts[i].node = nil
	if s.rnd.IntN(2) == 0 {
		s.start(i)
	}
}

// wipe replaces the disk of host i by an empty one. The member that starts there
// next is a new one.
func (s *sim) wipe(i int) {
	id := raft.ID(len(s.hostOf) + 1)
	s.hostOf[id] = i
	*s.hosts[i] = host{clockRate: normalClockRate, disk: raft.PersistentState{HardState: raft.HardState{ID: id}}}
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	if h.node != nil {
		return
	}
	seeded := raft.WithRand(rand.New(rand.NewPCG(s.rnd.Uint64(), 0)))
	n, err := raft.New(h.disk, h.local(s.now), append([]raft.Option{seeded}, s.opts...)...)
	if err != nil {
		s.checker.fail("host %d did not start: %v", i+1, err)
		return
	}
	h.node = n
	h.restore(h.disk.Snapshot)
}

func (h *host) restore(snap raft.Snapshot) {
	h.appliedIndex, h.digest = snap.Index, 0
	if len(snap.Data) > 0 {
		h.digest = binary.LittleEndian.Uint64(snap.Data)
	}
}

func (h *host) running(now time.Time) bool { return h.node != nil && !now.Before(h.frozenUntil) }

// write stores p on the simulated disk.
func (h *host) write(p raft.PersistentUpdate) {
	if p.HardState != nil {
		h.disk.HardState = *p.HardState
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

// handle carries out an output, possibly with a crash before or after the write.
func (s *sim) handle(i int, out raft.Output) {
	h := s.hosts[i]
	if out.Fault != nil {
		s.checker.fail("host %d: %v", i+1, out.Fault)
		return
	}
	if !out.Persist.Empty() && s.rnd.Float64() < s.crashRate {
		s.crashHost(i)
		return
	}
	h.write(out.Persist)
	if es := out.Persist.Entries; len(es) > 0 {
		s.checker.persisted(h.disk, es[0].Index)
	}
	st := h.node.Status(h.local(s.now))
	if st.Role == raft.Leader {
		s.checker.leader(st.ID, st.Term, h.disk)
	}
	if !out.Persist.Empty() && s.rnd.Float64() < s.crashRate {
		s.crashHost(i)
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
		s.checker.restored(*out.Restore, h.digest)
	}
	for _, e := range out.Committed {
		if e.Index != h.appliedIndex+1 {
			s.checker.fail("entry %d was reported as committed after entry %d", e.Index, h.appliedIndex)
		}
		h.appliedIndex, h.digest = e.Index, digest(h.digest, e)
		s.checker.commit(e, term, h.digest)
	}
	for _, r := range out.Reads {
		s.checker.readFinished(r)
		s.events = append(s.events, fmt.Sprintf("read %d: index=%d confirmed=%v", r.Request, r.Index, r.Confirmed))
	}
}

// send encodes and decodes m and puts it on the network.
func (s *sim) send(from int, m raft.Message) {
	wire, err := proto.Marshal(raft.ToProto(m))
	if err != nil {
		s.checker.fail("encode: %v", err)
		return
	}
	s.bytesSent += len(wire)
	s.messagesSent++
	to := s.hostOf[m.Head().To]
	if s.cutLinks[[2]int{from, to}] || s.rnd.Float64() < s.lossRate {
		return
	}
	var pb ctlpb.RaftMessage
	if err := proto.Unmarshal(wire, &pb); err != nil {
		s.checker.fail("decode: %v", err)
		return
	}
	msg, err := raft.FromProto(&pb)
	if err != nil {
		s.checker.fail("decode: %v", err)
		return
	}
	delay := minDelay + time.Duration(s.rnd.Int64N(int64(maxDelay-minDelay)))
	for s.rnd.Float64() < s.duplicationRate {
		s.packets = append(s.packets, packet{from: from, to: to, due: s.now.Add(delay), msg: msg})
		delay += time.Duration(s.rnd.Int64N(int64(time.Second)))
	}
	s.packets = append(s.packets, packet{from: from, to: to, due: s.now.Add(delay), msg: msg})
}

// run advances the simulated time by d and handles packets and ticks when they
// are due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.checker.err == nil {
		at, k, tick := s.next(end)
		if k < 0 {
			break
		}
		if len(s.packets) > maxPacketsInFlight {
			s.checker.fail("%d packets are in flight, the latest is %#v", len(s.packets), s.packets[len(s.packets)-1].msg)
		}
		if at.After(s.now) {
			s.now = at
		}
		if tick {
			s.handle(k, s.hosts[k].node.Tick(s.hosts[k].local(s.now)))
			continue
		}
		p := s.packets[k]
		s.packets = append(s.packets[:k], s.packets[k+1:]...)
		if h := s.hosts[p.to]; h.node != nil && !s.cutLinks[[2]int{p.from, p.to}] {
			s.handle(p.to, h.node.Step(p.msg, h.local(s.now)))
		}
	}
	s.now = end
}

// next returns the packet or tick that is due first before end. k is -1 if there
// is none.
func (s *sim) next(end time.Time) (at time.Time, k int, tick bool) {
	at, k = end, -1
	for i, p := range s.packets {
		if due := later(p.due, s.hosts[p.to].frozenUntil); due.Before(at) {
			at, k = due, i
		}
	}
	for i, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if due := later(h.global(h.node.NextTick(h.local(s.now))), h.frozenUntil); due.Before(at) {
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
	clear(s.cutLinks)
	for i := range s.hosts {
		for j := range s.hosts {
			if group(i) != group(j) {
				s.cutLinks[[2]int{i, j}] = true
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
	s.checker.readStarted(s.request)
	out, err := h.node.ReadIndex(s.request, h.local(s.now))
	s.handle(i, out)
	return err
}

func (s *sim) compact(i int) error {
	h := s.hosts[i]
	data := binary.LittleEndian.AppendUint64(nil, h.digest)
	out, err := h.node.Compact(h.appliedIndex, append(data, make([]byte, 100)...), h.local(s.now))
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

// String describes the state of every host.
func (s *sim) String() string {
	var b strings.Builder
	for i, h := range s.hosts {
		fmt.Fprintf(&b, "host %d id=%s ", i+1, h.disk.HardState.ID)
		if !h.running(s.now) {
			b.WriteString("down\n")
			continue
		}
		st := h.node.Status(h.local(s.now))
		fmt.Fprintf(&b, "%s term=%d leader=%s commit=%d last=%d applied=%d members=", st.Role, st.Term, st.Leader, st.Commit, st.Last, h.appliedIndex)
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
