package host

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/event"
	"tamarackcross/roster"
)

// TestOddEntriesSpread guards against one odd entry of another writer that reaches an instance
// through control: it must name no member, displace no true one and end no process.
func TestOddEntriesSpread(t *testing.T) {
	now := time.Now()
	valid := roster.Entry{Service: "s", ID: "i-1", Born: now.UnixMilli(), Seq: 4, Addr: "10.0.0.9:80", Zone: "a", Slots: 3}
	odd := func(change func(*roster.Entry)) roster.Entry {
		e := valid
		e.Seq++
		change(&e)
		return e
	}
	table := roster.New()
	putChecked(table, []roster.Entry{
		valid,
		odd(func(e *roster.Entry) { e.Born = math.MaxInt64 }),
		odd(func(e *roster.Entry) { e.Born = math.MinInt64 }),
		odd(func(e *roster.Entry) { e.Born = now.Add(2 * time.Hour).UnixMilli() }),
		odd(func(e *roster.Entry) { e.Seq = math.MaxUint64 }),
		odd(func(e *roster.Entry) { e.Addr = "10.0.0.9:80000" }),
		odd(func(e *roster.Entry) { e.Addr = "10.0.0.9:0" }),
		odd(func(e *roster.Entry) { e.Addr = "10.0.0.9:-1" }),
		odd(func(e *roster.Entry) { e.Addr = "10.0.0.9" }),
		odd(func(e *roster.Entry) { e.Addr = "database.example:80" }),
		odd(func(e *roster.Entry) { e.Addr = "0.0.0.0:80" }),
		odd(func(e *roster.Entry) { e.Addr = "[::1]:80" }),
		odd(func(e *roster.Entry) { e.Slots = math.MaxInt }),
		odd(func(e *roster.Entry) { e.Slots = -3 }),
		odd(func(e *roster.Entry) { e.State = 7 }),
		odd(func(e *roster.Entry) { e.Claim = math.MaxUint64 }),
		odd(func(e *roster.Entry) { e.ID = "" }),
		odd(func(e *roster.Entry) { e.ID = strings.Repeat("i", 10_000) }),
		odd(func(e *roster.Entry) { e.Service = "" }),
		odd(func(e *roster.Entry) { e.Zone = strings.Repeat("z", 10_000) }),
	}, now, event.Nop())
	next := odd(func(*roster.Entry) {})
	putChecked(table, []roster.Entry{next}, now, event.Nop())
	if diff := cmp.Diff([]roster.Entry{next}, table.Members("s")); diff != "" {
		t.Fatal(diff)
	}
}
