package meas

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/emul"
	"tamarackcross/site"
	"tamarackcross/stats"
)

// serviceTime is how long a short statement occupies a slot.
const serviceTime = 10 * time.Millisecond

// testbed is a site whose load goes through its entries or through the baseline.
type testbed struct {
	profile  Profile
	site     *site.Site
	baseline *baselinePool
	addrs    []string
}

// startSite starts the site of a testbed. The baseline uses as many connections as a member
// accepts. The entries beside it keep some too, so that the members accept twice as many there.
func startSite(ctx context.Context, p Profile, v Variant, o Options) (*site.Site, error) {
	connections := p.Plan.Connections
	if v == Baseline {
		connections *= 2
	}
	return site.Start(ctx, p.Plan,
		site.WithNetwork(p.networkOptions()...),
		site.WithMember(emul.WithConnectTime(p.ConnectTime), emul.WithServiceTime(serviceTime), emul.WithConnections(connections)),
		site.WithLog(o.Log))
}

// startTestbed starts a site. With the baseline its entries run, but get no load.
func startTestbed(ctx context.Context, p Profile, v Variant, o Options) (*testbed, error) {
	s, err := startSite(ctx, p, v, o)
	if err != nil {
		return nil, err
	}
	b := &testbed{profile: p, site: s}
	if v != Baseline {
		for i := range s.Instances() {
			b.addrs = append(b.addrs, s.Addr(i))
		}
		return b, nil
	}
	if b.baseline, err = startBaseline(ctx, s); err != nil {
		s.Close()
		return nil, err
	}
	b.addrs = b.baseline.addrs()
	return b, nil
}

func (b *testbed) close() {
	if b.baseline != nil {
		b.baseline.close()
	}
	b.site.Close()
}

// capacity returns the number of short statements per second that all slots
// together can execute.
func (p Profile) capacity() float64 {
	slots := len(p.Plan.Databases) * len(p.Plan.Zones) * p.Plan.Slots
	return float64(slots) / serviceTime.Seconds()
}

func (b *testbed) primary(db string) (*emul.Server, error) { return primaryOf(b.site, db) }

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

// counters returns the sum of the counters of all entries.
func (b *testbed) counters() stats.Counts {
	var all stats.Counts
	for i := range b.site.Instances() {
		n := b.site.Entry(i).Counts()
		all.Writes += n.Writes
		all.ReadsReplica += n.ReadsReplica
		all.ReadsPrimary += n.ReadsPrimary
	}
	return all
}

// replicaShare returns the fraction of reads that replicas served since the counters
// were at before. It is 1 for the baseline, which sends every read to a replica.
func (b *testbed) replicaShare(before stats.Counts) float64 {
	if b.baseline != nil {
		return 1
	}
	now := b.counters()
	replica := float64(now.ReadsReplica - before.ReadsReplica)
	primary := float64(now.ReadsPrimary - before.ReadsPrimary)
	return ratio(replica, replica+primary)
}

// Compared is one figure with its values for both variants.
type Compared struct {
	Name     string  `json:"name"`
	Proxy    float64 `json:"tamarackcross"`
	Baseline float64 `json:"baseline"`
	Ratio    float64 `json:"ratio,omitempty"`
}

// compare returns the values of a figure with their ratio. It omits the ratio if a value
// is negative, which means that the variant did not reach it.
func compare(name string, proxy, baseline float64) Compared {
	if proxy < 0 || baseline < 0 {
		return Compared{Name: name, Proxy: proxy, Baseline: baseline}
	}
	return Compared{name, proxy, baseline, ratio(proxy, baseline)}
}

// Comparison is the row that compares the two variants of a run.
type Comparison struct {
	Experiment string     `json:"experiment"`
	Site       string     `json:"site"`
	Variant    string     `json:"variant"`
	Load       float64    `json:"load,omitempty"`
	Seed       uint64     `json:"seed"`
	Figures    []Compared `json:"figures"`
}

const ratioVariant = "ratio"
