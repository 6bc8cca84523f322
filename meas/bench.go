package meas

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/emul"
	"tamarackcross/site"
	"tamarackcross/stats"
)

// serviceTime is how long a short statement holds a slot.
const serviceTime = 10 * time.Millisecond

// bench is a site with the entries or the baseline in front of it.
type bench struct {
	profile Profile
	s       *site.Site
	naive   *naive
	addrs   []string
}

// startBench starts a site. The baseline leaves its entries without load.
func startBench(ctx context.Context, p Profile, v Variant, o Options) (*bench, error) {
	s, err := site.Start(ctx, p.Plan,
		site.WithNetwork(p.latencies()...),
		site.WithMember(emul.WithConnectTime(p.Connect), emul.WithService(serviceTime)),
		site.WithLog(o.Log))
	if err != nil {
		return nil, err
	}
	b := &bench{profile: p, s: s}
	if v != Baseline {
		for i := range s.Instances() {
			b.addrs = append(b.addrs, s.Addr(i))
		}
		return b, nil
	}
	if b.naive, err = startNaive(ctx, s); err != nil {
		s.Close()
		return nil, err
	}
	b.addrs = b.naive.addrs()
	return b, nil
}

func (b *bench) close() {
	if b.naive != nil {
		b.naive.close()
	}
	b.s.Close()
}

// capacity is the number of short statements per second that all slots serve.
func (p Profile) capacity() float64 {
	slots := len(p.Plan.Databases) * len(p.Plan.Zones) * p.Plan.Slots
	return float64(slots) / serviceTime.Seconds()
}

// primary returns the server of the primary of a database.
func (b *bench) primary(db string) (*emul.Server, error) { return primaryOf(b.s, db) }

func primaryOf(s *site.Site, db string) (*emul.Server, error) {
	g, ok := s.Instances()[0].Views().Group(db)
	if !ok {
		return nil, eris.Errorf("database %s is not known", db)
	}
	for _, srv := range s.Servers(db) {
		if srv.Member().Name() == g.Primary {
			return srv, nil
		}
	}
	return nil, eris.Errorf("primary %s is not known", g.Primary)
}

// counts adds up the counters of all entries.
func (b *bench) counts() stats.Counts {
	var all stats.Counts
	for i := range b.s.Instances() {
		n := b.s.Entry(i).Counts()
		all.Writes += n.Writes
		all.ReadsReplica += n.ReadsReplica
		all.ReadsPrimary += n.ReadsPrimary
	}
	return all
}

// replicaShare returns the part of the reads since before that replicas served.
// The baseline sends every read to a replica.
func (b *bench) replicaShare(before stats.Counts) float64 {
	if b.naive != nil {
		return 1
	}
	now := b.counts()
	replica := float64(now.ReadsReplica - before.ReadsReplica)
	primary := float64(now.ReadsPrimary - before.ReadsPrimary)
	return ratio(replica, replica+primary)
}

// Compared is one figure of both variants.
type Compared struct {
	Name     string  `json:"name"`
	Proxy    float64 `json:"tamarackcross"`
	Baseline float64 `json:"baseline"`
	Ratio    float64 `json:"ratio,omitempty"`
}

// compared leaves the ratio out where a figure is negative, which stands for
// "not reached".
func compared(name string, proxy, baseline float64) Compared {
	if proxy < 0 || baseline < 0 {
		return Compared{Name: name, Proxy: proxy, Baseline: baseline}
	}
	return Compared{name, proxy, baseline, ratio(proxy, baseline)}
}

// Comparison is the row of the ratios between the two variants of a run.
type Comparison struct {
	Experiment string     `json:"experiment"`
	Site       string     `json:"site"`
	Variant    string     `json:"variant"`
	Load       float64    `json:"load,omitempty"`
	Seed       uint64     `json:"seed"`
	Figures    []Compared `json:"figures"`
}

const ratioVariant = "ratio"
