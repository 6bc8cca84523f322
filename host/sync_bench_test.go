package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"tamarackcross/clock"
	"tamarackcross/mesh"
	"tamarackcross/roster"
)

// BenchmarkSync measures a Sync call that finds nothing new, by the number of entries.
func BenchmarkSync(b *testing.B) {
	for _, entries := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			g := startControlGroup(b, 1)
			c := g.all[0]
			for i := range 60 {
				c.roster.Put(roster.Entry{Service: fmt.Sprint("svc", i/3), ID: fmt.Sprint("i-", i), Addr: fmt.Sprint("10.0.0.", i, ":80"), Zone: "a", Slots: 5, Born: 1, Seq: 1}, clock.Now())
			}
			request := func(i int) *mesh.SyncRequest {
				return &mesh.SyncRequest{
					Name: fmt.Sprint("front-", i), Zone: fmt.Sprint("z", i%5), Serves: true, Addr: fmt.Sprint("10.1.0.", i, ":7440"), ConfigVersion: 9,
					Incarnation: c.incarnation, RosterRevision: 60, Wait: 1, ProbedServices: []string{"svc1"},
				}
			}
			for i := range entries {
				if _, err := c.Sync(context.Background(), request(i)); err != nil {
					b.Fatal(err)
				}
			}
			b.ResetTimer()
			for n := range b.N {
				in := request(n % entries)
				in.Wait = time.Nanosecond
				if _, err := c.Sync(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
