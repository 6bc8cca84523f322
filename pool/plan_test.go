package pool_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/pool"
)

var epoch = time.Unix(1_000_000, 0)

var states = map[string]pool.State{"idle": pool.Idle, "busy": pool.Busy, "probing": pool.Probing}

// ago returns the time that lies the given duration before now. An empty text is
// the zero time.
func ago(t *testing.T, text string, now time.Time) time.Time {
	if text == "" {
		return time.Time{}
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return now.Add(-d)
}

func parseExpected(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// TestScripts guards against connections that are kept, closed, probed or reused
// against the rules: unneeded ones that stay open, and lost ones that are not
// found. The times of a connection are given as ages.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var p *pool.Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var v pool.View
			var at string
			d.MaybeScanArgs(t, "limit", &v.Limit)
			d.MaybeScanArgs(t, "waiting", &v.Waiting)
			d.MaybeScanArgs(t, "opening", &v.Opening)
			d.MaybeScanArgs(t, "at", &at)
			now := epoch
			if at != "" {
				now = epoch.Add(epoch.Sub(ago(t, at, epoch)))
			}
			for line := range strings.SplitSeq(d.Input, "\n") {
				f := map[string]string{}
				for _, part := range strings.Fields(line) {
					key, value, _ := strings.Cut(part, "=")
					f[key] = value
				}
				id, _ := strconv.ParseUint(f["id"], 10, 64)
				term, _ := strconv.ParseUint(f["term"], 10, 64)
				v.Conns = append(v.Conns, pool.Conn{
					ID: id, State: states[f["state"]], Term: term, Opened: ago(t, f["opened"], now), LastUsed: ago(t, f["used"], now),
					LastReceived: ago(t, f["answered"], now), RequestSent: ago(t, f["asked"], now), Expected: parseExpected(f["expected"]),
				})
			}
			if d.Cmd == "new" {
				p = pool.New()
			}
			var out strings.Builder
			for _, a := range p.Step(v, now) {
				fmt.Fprintf(&out, "%s%v\n", strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "pool.")), a)
			}
			best, ok := p.Reuse(v.Conns, 2, now)
			fmt.Fprintf(&out, "reuse %d %v\n", best, ok)
			return out.String()
		})
	})
}

// waitedShare simulates demand that rises tenfold within rise milliseconds. It
// returns the share of the statements that waited for a connection, counted from
// the start of the rise.
func waitedShare(p *pool.Plan, rise float64) float64 {
	const (
		step    = time.Millisecond
		service = 20.0 // ms
		limit   = 50
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	open, busy, waiting, total, waited := 4, 0, 0, 0, 0
	opening := map[int]int{}
	inFlight := 0
	for ms := range 1000 + int(rise) {
		now := epoch.Add(time.Duration(ms) * step)
		open += opening[ms]
		inFlight -= opening[ms]
		for range busy {
			if rnd.Float64() < 1/service {
				busy--
			}
		}
		rate := 0.15 * (1 + 9*min(1, max(0, float64(ms-1000)/rise)))
		for rnd.Float64() < rate {
			rate--
			waiting++
			if ms < 1000 {
				continue
			}
			if total++; busy+waiting > open {
				waited++
			}
		}
		start := min(waiting, open-busy)
		busy += start
		waiting -= start
		n := p.Grow(busy+waiting, open, inFlight, limit, now)
		opening[ms+10] += n
		inFlight += n
	}
	return float64(waited) / float64(total)
}

// TestRamp guards against connections that are opened only when statements already
// wait for them.
func TestRamp(t *testing.T) {
	for _, rise := range []float64{1000, 300, 100} {
		withoutLead := waitedShare(pool.New(pool.WithConnectTime(0), pool.WithSpareConns(0)), rise)
		spareOnly := waitedShare(pool.New(pool.WithConnectTime(0)), rise)
		withDefaults := waitedShare(pool.New(), rise)
		t.Logf("rise within %v ms: share of statements that waited: %.3f without connections opened in advance, %.3f with spare ones only, %.3f with the defaults", rise, withoutLead, spareOnly, withDefaults)
		if withDefaults > 0.06 || withDefaults > withoutLead/2 {
			t.Errorf("%.3f of the statements waited for a connection, %.3f without connections opened in advance", withDefaults, withoutLead)
		}
	}
}
