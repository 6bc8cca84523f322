package meas

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	agesTable    = "ages"
	agesKey      = "clock"
	agesBound    = 300 * time.Millisecond // below the highest lag
	agesWrite    = 20 * time.Millisecond  // between writes
	agesReaders  = 4                      // per database
	agesReadWait = 30 * time.Millisecond  // between reads of one reader
)

// ageClock writes increasing values to one row of a database and checks reads
// with an age bound by the time of each acknowledgement.
type ageClock struct {
	r        *replicas
	database string

	mu      sync.Mutex
	acks    []time.Time // of value i+1
	checked int64
	older   int64
	errors  int64
	reasons reasonCounts // of refusals
}

// startClocks starts a writer and some readers per database.
func (r *replicas) startClocks(ctx context.Context, wg *conc.WaitGroup) []*ageClock {
	var out []*ageClock
	for _, db := range r.profile.Plan.Databases {
		c := &ageClock{r: r, database: db, reasons: make(reasonCounts)}
		out = append(out, c)
		wg.Go(func() { c.write(ctx) })
		for i := range agesReaders {
			wg.Go(func() { c.read(ctx, i) })
		}
	}
	return out
}

// open connects to entry i for as long as ctx lasts.
func (c *ageClock) open(ctx context.Context, i int, params ...param) (*line, func(), error) {
	addr := c.r.b.addrs[i%len(c.r.b.addrs)]
	dctx, end := context.WithTimeout(ctx, dialLimit)
	defer end()
	l, err := openLine(dctx, callerDialer(c.r.b.s.Network(), "ages"), addr, c.database, params...)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, l.close)
	return l, func() { stop(); l.close() }, nil
}

func (c *ageClock) write(ctx context.Context) {
	l, stop, err := c.open(ctx, 0)
	if err != nil {
		c.failed(ctx, err)
		return
	}
	defer stop()
	for v := 1; ctx.Err() == nil; v++ {
		a, err := l.query(fmt.Sprintf("INSERT INTO %s (k, v) VALUES ('%s', '%d') ON CONFLICT (k) DO UPDATE SET v = '%d'",
			agesTable, agesKey, v, v))
		if err != nil {
			c.failed(ctx, err)
			return
		}
		if a.state != "" {
			c.refused(a)
			v--
			time.Sleep(agesWrite)
			continue
		}
		c.mu.Lock()
		c.acks = append(c.acks, time.Now())
		c.mu.Unlock()
		time.Sleep(agesWrite)
	}
}

// floor returns the newest value that was acknowledged before t.
func (c *ageClock) floor(t time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.acks) - 1; i >= 0; i-- {
		if c.acks[i].Before(t) {
			return int64(i) + 1
		}
	}
	return 0
}

// read checks that no read is older than the bound allows, counted from the
// start of the read. It stays on one connection: a new one without a token takes
// its bound from the primary, and no replica would qualify.
func (c *ageClock) read(ctx context.Context, i int) {
	l, stop, err := c.open(ctx, i, param{"tamarackcross.max_age", agesBound.String()})
	if err != nil {
		c.failed(ctx, err)
		return
	}
	defer stop()
	for ctx.Err() == nil && c.readOnce(ctx, l) {
		time.Sleep(agesReadWait)
	}
}

func (c *ageClock) readOnce(ctx context.Context, l *line) bool {
	floor := c.floor(time.Now().Add(-agesBound))
	a, err := l.query("SELECT v FROM " + agesTable + " WHERE k = '" + agesKey + "'")
	if err != nil {
		c.failed(ctx, err)
		return false
	}
	if a.state != "" {
		c.refused(a)
		return true
	}
	v, _ := strconv.ParseInt(a.value, 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked++
	if v < floor {
		c.older++
	}
	return true
}

// failed counts an error unless the run is over.
func (c *ageClock) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.r.o.Log.Error().Err(err).Str("database", c.database).Msg("connection of an age check ended")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors++
}

// refused counts an answer with an error.
func (c *ageClock) refused(a answer) {
	verdict, reason := judge(a, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if verdict == failed {
		c.errors++
		return
	}
	c.reasons[reason]++
}
