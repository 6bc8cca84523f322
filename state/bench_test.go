package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"tamarackcross/group"
	"tamarackcross/state"
)

// The size of the state that is expected in two years.
const (
	targetDatabases = 4000
	targetMembers   = 3
	targetInstances = 2700
	targetZones     = 12
)

type fixture struct {
	m     *state.Machine
	index uint64
}

func (b *fixture) apply(c state.Command) state.ApplyResult {
	b.index++
	return b.m.Apply(state.Stamp{Term: 1, Index: b.index}, c)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%targetZones) }

func announcement(db, member int) state.Announce {
	return state.Announce{
		Database: fmt.Sprintf("bookings-core-%d", db), Member: fmt.Sprintf("db-%d-%d", db, member), Incarnation: 1,
		Store: fmt.Sprintf("store-%08x-%d", db, member), Zone: zoneOf(db + member), Address: fmt.Sprintf("10.1.%d.%d:5432", db%250, member),
		Slots: 3, Connections: 40,
	}
}

func registration(i int, incarnation uint64) state.RegisterInstance {
	return state.RegisterInstance{Instance: state.Instance{
		Name: fmt.Sprintf("entry-%04d", i), Incarnation: incarnation, Zone: zoneOf(i),
		Addresses: []string{fmt.Sprintf("10.0.%d.%d:6432", i/250, i%250), fmt.Sprintf("10.0.%d.%d:7432", i/250, i%250)},
		Roles:     []string{state.RoleEntry},
	}}
}

// newFullState returns a machine whose state has the expected size.
func newFullState(tb testing.TB) *fixture {
	tb.Helper()
	b := &fixture{m: state.New()}
	for i := range targetInstances {
		b.apply(registration(i, 1))
	}
	h, err := group.NewHistory(group.TermStart{Term: 1})
	if err != nil {
		tb.Fatal(err)
	}
	for db := range targetDatabases {
		var names []string
		for m := range targetMembers {
			a := announcement(db, m)
			b.apply(a)
			names = append(names, a.Member)
		}
		b.apply(state.BootstrapGroup{Database: announcement(db, 0).Database, Primary: names[0], History: h, Voters: names})
	}
	b.apply(state.NewApplyConfig("c1", 0, document(tb, "1s"), "kim", proposedAt))
	return b
}

func BenchmarkApplyPromotion(b *testing.B) {
	f := newFullState(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := announcement(i%targetDatabases, 0)
		d, _ := f.m.View().Group(a.Database)
		f.apply(state.BeginPromotion{Database: a.Database, ExpectedTerm: d.Term(), NewTerm: d.Term() + 1})
		f.apply(state.CompletePromotion{Database: a.Database, Term: d.Term() + 1, Primary: a.Member, StartOffset: 9})
	}
}

func BenchmarkApplyAnnounce(b *testing.B) {
	f := newFullState(b)
	b.ReportAllocs()
	bytes := 0
	for i := 0; b.Loop(); i++ {
		a := announcement(i%targetDatabases, i%targetMembers)
		a.Incarnation = 2 + uint64(i)
		bytes = len(f.apply(a).Delta.Changes[0].Data)
	}
	b.ReportMetric(float64(bytes), "delta-bytes")
}

// BenchmarkApplyRestart removes an entry and registers it again, so that its
// members are reassigned twice.
func BenchmarkApplyRestart(b *testing.B) {
	f := newFullState(b)
	b.ReportAllocs()
	sections := 0
	for i := 0; b.Loop(); i++ {
		inc := uint64(i/targetInstances + 1)
		r := registration(i%targetInstances, inc)
		sections += len(f.apply(state.RemoveInstance{Instance: r.Instance.Name, Incarnation: inc}).Delta.Changes)
		sections += len(f.apply(registration(i%targetInstances, inc+1)).Delta.Changes)
	}
	b.ReportMetric(float64(sections)/float64(b.N), "sections/op")
}

func BenchmarkSnapshot(b *testing.B) {
	f := newFullState(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(f.m.Snapshot())
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}

func BenchmarkRestore(b *testing.B) {
	snap := newFullState(b).m.Snapshot()
	b.ReportAllocs()
	var m *state.Machine
	for b.Loop() {
		m = state.New()
		if err := m.Restore(snap); err != nil {
			b.Fatal(err)
		}
	}
	before := heapBytes()
	m = state.New()
	if err := m.Restore(snap); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
	runtime.KeepAlive(m)
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func BenchmarkGroup(b *testing.B) {
	v := newFullState(b).m.View()
	name := announcement(1234, 0).Database
	b.ReportAllocs()
	for b.Loop() {
		v.Group(name)
	}
}
