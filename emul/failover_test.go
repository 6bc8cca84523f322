package emul_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
	"tamarackcross/group"
)

// control plays the control role: it fences members, chooses a primary and promotes
// it.
type control struct {
	t              *testing.T
	g              *emul.Group
	history        group.History
	primary        int
	acked          []string // keys of acknowledged writes
	lastKey        int
	confirmTimeout time.Duration // timeout of one group_confirm
}

// write inserts n keys at member i and records those that were acknowledged.
func (c *control) write(i, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	app, err := pgx.Connect(ctx, "postgres://app@"+c.g.Addr(i)+"/db?sslmode=disable")
	if err != nil {
		return
	}
	defer app.Close(ctx)
	for range n {
		c.lastKey++
		key := fmt.Sprint("key", c.lastKey)
		if _, err := app.Exec(ctx, "INSERT INTO t VALUES ($1, '1')", key); err != nil {
			continue
		}
		pos, err := group.ParsePosition(app.PgConn().ParameterStatus("group_position"))
		if err != nil {
			c.t.Fatal(err)
		}
		if c.confirmed(i, pos) {
			c.acked = append(c.acked, key)
		}
	}
}

func (c *control) confirmed(i int, pos group.Position) bool {
	call := fmt.Sprintf("SELECT group_confirm(%d, %d, %d)", pos.Term, pos.Offset, c.confirmTimeout.Milliseconds())
	return queryValue(c.t, connect(c.t, "tamarackcross", c.g.Addr(i)), call) == "t"
}

// failOver fences the given majority and promotes the fenced member that holds the
// most. The other members learn of it only when they follow the new primary.
func (c *control) failOver(fenced []int) {
	term := c.history.Term() + 1
	best, bestHeld := -1, group.Position{}
	for _, i := range fenced {
		held, err := c.g.Member(i).Fence(term)
		if err != nil {
			c.t.Fatal(err)
		}
		if held = c.history.Clip(held); best < 0 || bestHeld.Less(held) {
			best, bestHeld = i, held
		}
	}
	var err error
	if c.history, err = c.history.Append(group.TermStart{Term: term, Offset: bestHeld.Offset}); err != nil {
		c.t.Fatal(err)
	}
	if err := c.g.Member(best).Promote(term, c.history); err != nil {
		c.t.Fatal(err)
	}
	c.primary = best
}

func (c *control) follow(i int) {
	if i == c.primary {
		return
	}
	if _, err := c.g.Member(i).Follow(testContext(c.t), c.history.Term(), c.g.Addr(c.primary)); err != nil {
		c.t.Fatal(err)
	}
}

// injectFault stops or silences member i or makes it lag. It returns a function that
// ends the fault; silenced connections stay silent.
func (c *control) injectFault(rnd *rand.Rand, i int) func() {
	srv := c.g.Servers()[i]
	switch rnd.IntN(3) {
	case 0:
		if err := srv.Stop(); err != nil {
			c.t.Fatal(err)
		}
		return func() {
			if err := srv.Start(context.Background()); err != nil {
				c.t.Fatal(err)
			}
		}
	case 1:
		srv.Member().SilenceExisting()
		return func() {}
	}
	srv.Member().SetAckDelay(time.Millisecond)
	srv.Member().SetApplyLag(2 * time.Millisecond)
	return func() {
		srv.Member().SetAckDelay(0)
		srv.Member().SetApplyLag(0)
	}
}

// TestFailovers guards against promotions that lose acknowledged writes, and against
// members whose data differs after they have followed the same primary. Each round
// puts a fault on one member, promotes one of the other two, and lets some of the
// members follow.
func TestFailovers(t *testing.T) {
	const seeds, rounds = 4, 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			c := &control{t: t, g: startGroup(t, 3)}
			var err error
			if c.history, err = group.ParseHistory("1@0"); err != nil {
				t.Fatal(err)
			}
			c.confirmTimeout = testTimeout
			c.write(0, 1)
			c.confirmTimeout = 20 * time.Millisecond // short, because most rounds have no majority by design
			for range rounds {
				faulty := rnd.IntN(3)
				c.write(c.primary, 3)
				undo := c.injectFault(rnd, faulty)
				old := c.primary
				c.write(old, 2)
				majority := []int{(faulty + 1) % 3, (faulty + 2) % 3}
				c.failOver(majority)
				c.write(c.primary, 1)
				undo()
				c.write(old, 2) // a replaced primary may commit, but its commits are not acknowledged
				for _, i := range rnd.Perm(3) {
					if rnd.IntN(4) > 0 {
						c.follow(i)
					}
				}
			}
			for i := range 3 {
				c.follow(i)
			}
			c.check()
		})
	}
}

func (c *control) check() {
	want := c.g.Member(c.primary).Status().Held
	for i := range 3 {
		m := c.g.Member(i)
		eventually(c.t, func() bool { return m.Status().Applied == want })
		for _, key := range c.acked {
			if _, ok := m.Value("t", key); !ok {
				c.t.Errorf("%s lost the acknowledged write %s", m.Name(), key)
			}
		}
		if diff := cmp.Diff(c.rows(c.primary), c.rows(i)); diff != "" {
			c.t.Errorf("%s differs from the primary: %s", m.Name(), diff)
		}
	}
	if len(c.acked) == 0 {
		c.t.Error("no write was acknowledged")
	}
}

func (c *control) rows(i int) []string {
	rows, err := connect(c.t, "app", c.g.Addr(i)).Query(testContext(c.t), "SELECT k FROM t")
	if err != nil {
		c.t.Fatal(err)
	}
	keys, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		c.t.Fatal(err)
	}
	return keys
}
