package spread_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackcross/spread"
	"tamarackcross/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestScripts guards against instances that go back to an older state, do not catch
// up after faults, or serve an old state after a start.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := newSim(1, (*spread.Core).Receive)
		var deltas []state.Delta
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			args := make(map[string]string)
			for _, a := range d.CmdArgs {
				args[a.Key] = strings.Join(a.Vals, "")
			}
			num := func(k string, otherwise int) int {
				if n, err := strconv.Atoi(args[k]); err == nil {
					return n
				}
				return otherwise
			}
			switch d.Cmd {
			case "new":
				s = newSim(1, (*spread.Core).Receive)
				s.register(num("n", 1), num("zones", 1))
			case "start":
				s.startAll()
			case "restart":
				s.start(args["node"])
			case "stop":
				s.instances[args["node"]].running = false
			case "cut":
				s.partitions[args["zone"]] = num("part", 1)
			case "heal":
				clear(s.partitions)
			case "change":
				for range num("count", 1) {
					deltas = append(deltas, s.publish("n0", s.config(fmt.Sprintf("c%d", s.index))))
					s.advance(time.Duration(num("every", 1)) * time.Millisecond)
				}
			case "stale":
				s.execute(args["node"], s.instances[args["node"]].core.Publish(deltas[num("delta", 0)], s.now))
			case "run":
				s.advance(time.Duration(num("ms", 0)) * time.Millisecond)
			case "counts":
				return s.counts()
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return s.status()
		})
	})
}

// status returns the configuration version of each instance, and the first violated
// rule.
func (s *sim) status() string {
	var out []string
	for _, name := range s.names {
		n := s.instances[name]
		text := "down"
		if n.running {
			text = fmt.Sprintf("v%d", n.core.View().Config().Version())
		}
		if n.running && !n.core.Serving() {
			text += " starting"
		}
		out = append(out, name+"="+text)
	}
	if s.err != nil {
		out = append(out, "error: "+s.err.Error())
	}
	return strings.Join(out, ", ")
}

// counts returns the number of messages sent of each type since the last call.
func (s *sim) counts() string {
	total := make(map[string]int)
	for _, n := range s.instances {
		for k, v := range n.sentByKind {
			total[strings.TrimPrefix(k, "spread.")] += v
		}
		clear(n.sentByKind)
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(total)) {
		out = append(out, fmt.Sprintf("%s=%d", k, total[k]))
	}
	return strings.Join(out, " ")
}

// fault is one step of a random history.
type fault struct {
	Kind     string
	Instance string
	Zone     string
	N, Ms    int
}

const (
	randomInstances = 7
	randomZones     = 3
)

var faults = rapid.Custom(func(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:     rapid.SampledFrom(strings.Fields("change change change burst stale old restart stop cut heal lossy clean wait wait")).Draw(t, "kind"),
			Instance: fmt.Sprintf("n%d", rapid.IntRange(0, randomInstances-1).Draw(t, "node")),
			Zone:     fmt.Sprintf("z%d", rapid.IntRange(0, randomZones-1).Draw(t, "zone")),
			N:        rapid.IntRange(0, 1000).Draw(t, "n"),
			Ms:       rapid.IntRange(0, 700).Draw(t, "ms"),
		}
	}), 30, 60).Draw(t, "faults")
})

// answerLosing lists the faults that can lose an answer in flight.
var answerLosing = strings.Fields("restart stop cut heal lossy clean")

// runHistory runs a simulation with the faults, then heals the network. It returns the
// first violated rule.
func runHistory(receive receiveFunc, list []fault) error {
	s := newSim(uint64(len(list)), receive)
	s.register(randomInstances, randomZones)
	s.startAll()
	views := []*state.View{s.machine.View()}
	var deltas []state.Delta
	for _, f := range list {
		if s.err != nil {
			return s.err
		}
		n := s.instances[f.Instance]
		if slices.Contains(answerLosing, f.Kind) {
			s.forgetQueries()
		}
		switch {
		case f.Kind == "cut":
			s.partitions[f.Zone] = 1 + f.N%2
		case f.Kind == "heal":
			clear(s.partitions)
		case f.Kind == "lossy":
			s.lossRate, s.duplicateRate = 0.3, 0.3
		case f.Kind == "clean":
			s.lossRate, s.duplicateRate = 0, 0
		case f.Kind == "stop":
			n.running = false
		case f.Kind == "restart":
			s.start(f.Instance)
		case !n.running:
		case f.Kind == "old": // a control instance restores an old snapshot
			s.execute(f.Instance, n.core.Adopt(views[f.N%len(views)], s.now))
		case f.Kind == "stale" && len(deltas) > 0: // a leader that was frozen resumes
			s.execute(f.Instance, n.core.Publish(deltas[f.N%len(deltas)], s.now))
		case f.Kind == "change" || f.Kind == "burst":
			for i := range 1 + f.N%3*f.N/len(f.Kind)/20 {
				deltas = append(deltas, s.publish(f.Instance, s.change(i)))
			}
			views = append(views, s.machine.View())
		}
		s.advance(time.Duration(f.Ms) * time.Millisecond)
	}
	return s.finish()
}

// change returns a command that changes the configuration, or that adds or removes an
// instance that is not simulated.
func (s *sim) change(i int) state.Command {
	if i%3 == 0 {
		return s.config(fmt.Sprintf("c%d", s.index))
	}
	if old, ok := s.machine.View().Instance("other"); ok {
		return state.RemoveInstance{Instance: "other", Incarnation: old.Incarnation}
	}
	return state.RegisterInstance{Instance: state.Instance{Name: "other", Incarnation: s.index, Zone: "z9"}}
}

// finish heals the network and checks that all instances converge.
func (s *sim) finish() error {
	clear(s.partitions)
	s.lossRate, s.duplicateRate = 0, 0
	for _, name := range s.names {
		if !s.instances[name].running {
			s.start(name)
		}
	}
	s.execute("n0", s.instances["n0"].core.Adopt(s.machine.View(), s.now))
	s.advance(8 * time.Second)
	if late := s.lagging("n0"); s.err == nil && len(late) > 0 {
		s.fail("instances %v have not converged: %s", late, s.status())
	}
	return s.err
}

// TestRandom guards against violations of the rules of sim by lost, duplicated and
// reordered messages, partitions, restarts with an empty state and control instances
// that publish old state.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory((*spread.Core).Receive, faults.Draw(t, "faults")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestWeakened guards against checks of sim that cannot fail: each core with a fault
// must violate its rule in one of the random histories.
func TestWeakened(t *testing.T) {
	for name, c := range map[string]struct {
		receive receiveFunc
		want    string
	}{
		"backward": {spread.ReceiveBackward, "went back"},
		"first":    {spread.ReceiveFirst, "although a peer that it asked held"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 100 {
				if err := runHistory(c.receive, faults.Example(seed)); err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no history failed with %q", c.want)
		})
	}
}

// TestRejected guards against an answer that is installed although its digest does not
// match or a section cannot be decoded, and against a peer with other content at the
// same stamp that is not reported.
func TestRejected(t *testing.T) {
	at := state.Stamp{Term: 1, Index: 5}
	head := spread.Head{From: "n1"}
	good := state.Change{Key: state.Key{Kind: state.KindInstance, Name: "i"}, Data: []byte("\n\x01i")}
	bad := state.Change{Key: state.Key{Kind: 9, Name: "i"}, Data: []byte("x")}
	for _, change := range []state.Change{good, bad} {
		c := spread.New(spread.Peer{Name: "n0"}, spread.WithSeedPeers(spread.Peer{Name: "n1"}))
		c.Tick(startTime)
		c.Receive(spread.Summary{Head: head, Purpose: spread.Answer, Stamp: at}, startTime)
		actions := c.Receive(spread.Sections{Head: head, Stamp: at, Digest: 1, Whole: true, Parts: 1, Changes: []state.Change{change}}, startTime)
		if _, ok := actions[0].(spread.Rejected); !ok || !c.View().Stamp().IsZero() || c.Serving() {
			t.Fatalf("%v: %+v", change, actions)
		}
	}
	c := spread.New(spread.Peer{Name: "n0"})
	actions := c.Receive(spread.Summary{Head: head, Digest: 1}, startTime)
	if _, ok := actions[0].(spread.Diverged); !ok {
		t.Fatalf("%+v", actions)
	}
}

// TestCodec guards against fields that Encode or Decode omits.
func TestCodec(t *testing.T) {
	head := spread.Head{From: "n1"}
	at, key := state.Stamp{Term: 2, Index: 9}, state.Key{Kind: state.KindDatabase, Name: "a"}
	set, gone := state.Change{Key: key, Data: []byte("x")}, state.Change{Key: key, Removed: true}
	d := state.Delta{Prev: state.Stamp{Term: 1, Index: 8}, Stamp: at, Changes: []state.Change{set, gone}}
	for _, m := range []spread.Message{
		spread.Push{Head: head, Delta: d},
		spread.Summary{Head: head, Purpose: spread.Miss, Stamp: at, Digest: 7},
		spread.Pull{Head: head, Have: at, Buckets: []uint64{1, 2}},
		spread.Batch{Head: head, Deltas: []state.Delta{d, d}},
		spread.Outline{Head: head, Stamp: at, Digest: 7, Buckets: []int{0, 63}, Sections: []spread.SectionDigest{{Key: key, Digest: 5}}},
		spread.Fetch{Head: head, Stamp: at, Keys: []state.Key{key}},
		spread.Sections{Head: head, Stamp: at, Digest: 7, Whole: true, Part: 1, Parts: 2, Changes: []state.Change{set}},
	} {
		data, err := spread.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := spread.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, again); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzReceive guards against a panic, or a view that goes back, on arbitrary messages.
func FuzzReceive(f *testing.F) {
	for _, m := range []spread.Message{
		spread.Sections{Stamp: state.Stamp{Term: 1, Index: 1}, Whole: true, Parts: 1},
		spread.Outline{Stamp: state.Stamp{Term: 1, Index: 1}, Buckets: []int{1}},
		spread.Pull{Buckets: make([]uint64, state.NumBuckets)},
	} {
		data, err := spread.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := spread.New(spread.Peer{Name: "n0", Zone: "z0"}, spread.WithSeedPeers(spread.Peer{Name: "n1", Zone: "z0"}))
		c.Tick(startTime)
		for _, data := range [][]byte{first, second} {
			before := c.View().Stamp()
			if m, err := spread.Decode(data); err == nil {
				c.Receive(m, startTime)
			}
			c.Tick(startTime.Add(time.Minute))
			if c.View().Stamp().Less(before) {
				t.Fatalf("went back from %s to %s", before, c.View().Stamp())
			}
		}
	})
}
