package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"tamarackcross/group"
	"tamarackcross/state"
)

// The size expected in two years.
const (
	fullDatabases = 4000
	fullMembers   = 3
	fullInstances = 2700
	fullZones     = 12
)

type builder struct {
	m     *state.Machine
	index uint64
}

func (b *builder) apply(c state.Command) state.Applied {
	b.index++
	return b.m.Apply(state.Stamp{Term: 1, Index: b.index}, c)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%fullZones) }

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

func full(tb testing.TB) *builder {
	tb.Helper()
	b := &builder{m: state.New()}
	for i := range fullInstances {
		b.apply(registration(i, 1))
	}
	h, err := group.NewHistory(group.TermStart{Term: 1})
	if err != nil {
		tb.Fatal(err)
	}
	for db := range fullDatabases {
		var names []string
		for m := range fullMembers {
			a := announcement(db, m)
			b.apply(a)
			names = append(names, a.Member)
		}
		b.apply(state.BootstrapGroup{Database: announcement(db, 0).Database, Primary: names[0], History: h, Voters: names})
	}
	b.apply(state.NewApplyConfig("c1", 0, document(tb, "1s"), "kim", epoch))
	return b
}

func BenchmarkApplyPromotion(b *testing.B) {
	f := full(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := announcement(i%fullDatabases, 0)
		d, _ := f.m.View().Group(a.Database)
		f.apply(state.BeginPromotion{Database: a.Database, ExpectedTerm: d.Term(), NewTerm: d.Term() + 1})
		f.apply(state.CompletePromotion{Database: a.Database, Term: d.Term() + 1, Primary: a.Member, StartOffset: 9})
	}
}

func BenchmarkApplyAnnounce(b *testing.B) {
	f := full(b)
	b.ReportAllocs()
	bytes := 0
	for i := 0; b.Loop(); i++ {
		a := announcement(i%fullDatabases, i%fullMembers)
		a.Incarnation = 2 + uint64(i)
		bytes = len(f.apply(a).Delta.Changes[0].Data)
	}
	b.ReportMetric(float64(bytes), "delta-bytes")
}

// BenchmarkApplyRestart removes and registers an entry, whose members move.
func BenchmarkApplyRestart(b *testing.B) {
	f := full(b)
	b.ReportAllocs()
	sections := 0
	for i := 0; b.Loop(); i++ {
		inc := uint64(i/fullInstances + 1)
		r := registration(i%fullInstances, inc)
		sections += len(f.apply(state.RemoveInstance{Instance: r.Instance.Name, Incarnation: inc}).Delta.Changes)
		sections += len(f.apply(registration(i%fullInstances, inc+1)).Delta.Changes)
	}
	b.ReportMetric(float64(sections)/float64(b.N), "sections/op")
}

func BenchmarkSnapshot(b *testing.B) {
	f := full(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(f.m.Snapshot())
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}

func BenchmarkRestore(b *testing.B) {
	snap := full(b).m.Snapshot()
	b.ReportAllocs()
	var m *state.Machine
	for b.Loop() {
		m = state.New()
		if err := m.Restore(snap); err != nil {
			b.Fatal(err)
		}
	}
	before := heap()
	m = state.New()
	if err := m.Restore(snap); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heap()-before), "heap-bytes")
	runtime.KeepAlive(m)
}

func heap() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func BenchmarkGroup(b *testing.B) {
	v := full(b).m.View()
	name := announcement(1234, 0).Database
	b.ReportAllocs()
	for b.Loop() {
		v.Group(name)
	}
}
