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
	agesTable         = "ages"
	agesKey           = "clock"
	agesBound         = 300 * time.Millisecond // less than maxLag, so that replicas exceed it at times
	agesWriteInterval = 20 * time.Millisecond  // between writes of an ageCheck
	agesReaders       = 4                      // per database
	agesReadInterval  = 30 * time.Millisecond  // between reads of a reader
)

// ageCheck checks reads with an age bound on one database. It writes increasing
// values to one row and records when each was acknowledged, which tells how old
// the value of a read is.
type ageCheck struct {
	run      *replicas
	database string

	mu      sync.Mutex
	acks    []time.Time // when value i+1 was acknowledged, by i
	checked int64
	stale   int64
	errors  int64
	reasons reasonCounts // of rejected reads and writes
}

// startAgeChecks starts one writer and agesReaders readers per database.
func (r *replicas) startAgeChecks(ctx context.Context, wg *conc.WaitGroup) []*ageCheck {
	var out []*ageCheck
	for _, db := range r.profile.Plan.Databases {
		c := &ageCheck{run: r, database: db, reasons: make(reasonCounts)}
		out = append(out, c)
		wg.Go(func() { c.write(ctx) })
		for i := range agesReaders {
			wg.Go(func() { c.read(ctx, i) })
		}
	}
	return out
}

// open connects to entry i. The connection is closed when ctx ends or the returned
// function is called.
func (c *ageCheck) open(ctx context.Context, i int, params ...param) (*simpleConn, func(), error) {
	addr := c.run.testbed.addrs[i%len(c.run.testbed.addrs)]
	dctx, end := context.WithTimeout(ctx, dialTimeout)
	defer end()
	conn, err := openConn(dctx, callerDialer(c.run.testbed.site.Network(), "ages"), addr, c.database, params...)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, conn.close)
	return conn, func() { stop(); conn.close() }, nil
}

func (c *ageCheck) write(ctx context.Context) {
	conn, stop, err := c.open(ctx, 0)
	if err != nil {
		c.countFailure(ctx, err)
		return
	}
	defer stop()
	for v := 1; ctx.Err() == nil; v++ {
		a, err := conn.query(fmt.Sprintf("INSERT INTO %s (k, v) VALUES ('%s', '%d') ON CONFLICT (k) DO UPDATE SET v = '%d'",
			agesTable, agesKey, v, v))
		if err != nil {
			c.countFailure(ctx, err)
			return
		}
		if a.sqlState != "" {
			c.countError(a)
			v--
			time.Sleep(agesWriteInterval)
			continue
		}
		c.mu.Lock()
		c.acks = append(c.acks, time.Now())
		c.mu.Unlock()
		time.Sleep(agesWriteInterval)
	}
}

// newestBefore returns the newest value that was acknowledged before t, or 0.
func (c *ageCheck) newestBefore(t time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.acks) - 1; i >= 0; i-- {
		if c.acks[i].Before(t) {
			return int64(i) + 1
		}
	}
	return 0
}

// read checks that reads return no value that is older than agesBound, counted from
// the start of the read. It keeps one connection: a new session without a token
// takes its read bound from the primary, which no replica would satisfy.
func (c *ageCheck) read(ctx context.Context, i int) {
	conn, stop, err := c.open(ctx, i, param{"tamarackcross.max_age", agesBound.String()})
	if err != nil {
		c.countFailure(ctx, err)
		return
	}
	defer stop()
	for ctx.Err() == nil && c.readOnce(ctx, conn) {
		time.Sleep(agesReadInterval)
	}
}

func (c *ageCheck) readOnce(ctx context.Context, conn *simpleConn) bool {
	minValue := c.newestBefore(time.Now().Add(-agesBound))
	a, err := conn.query("SELECT v FROM " + agesTable + " WHERE k = '" + agesKey + "'")
	if err != nil {
		c.countFailure(ctx, err)
		return false
	}
	if a.sqlState != "" {
		c.countError(a)
		return true
	}
	v, _ := strconv.ParseInt(a.value, 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked++
	if v < minValue {
		c.stale++
	}
	return true
}

// countFailure counts a failed connection as an error unless the run is over.
func (c *ageCheck) countFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.run.o.Log.Error().Err(err).Str("database", c.database).Msg("connection of an age check failed and is not reopened; counted as an error")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors++
}

// countError counts an error answer, by reason if it has one.
func (c *ageCheck) countError(a answer) {
	status, reason := classify(a, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == failed {
		c.errors++
		return
	}
	c.reasons[reason]++
}
