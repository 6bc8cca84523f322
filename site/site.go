// Package site assembles a whole small deployment in one process: emulated
// database groups and entries on loopback ports. It serves dev, the
// measurements and tests.
package site

import (
	"context"
	"crypto/rand"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/group"
	"tamarackcross/token"
)

// Plan is the size of a site.
type Plan struct {
	Zones       []string
	Databases   []string
	Entries     int
	Slots       int // per member
	Connections int // per member
}

// Site is a running deployment.
type Site struct {
	plan    Plan
	groups  []*emul.Group
	dir     *entry.StaticDirectory
	entries []*entry.Server
	addrs   []string
	done    []chan error
	ls      []net.Listener
	cancel  context.CancelFunc
}

// Option configures the parts of a site.
type Option func(*options)

type options struct {
	member []emul.Option
	entry  []entry.Option
	log    zerolog.Logger
}

// WithMember adds options for the emulated members.
func WithMember(opts ...emul.Option) Option {
	return func(o *options) { o.member = append(o.member, opts...) }
}

// WithEntry adds options for the entries.
func WithEntry(opts ...entry.Option) Option {
	return func(o *options) { o.entry = append(o.entry, opts...) }
}

// WithLog sets the log of all parts.
func WithLog(l zerolog.Logger) Option { return func(o *options) { o.log = l } }

// Start starts a site and waits until it can serve.
func Start(ctx context.Context, plan Plan, opts ...Option) (*Site, error) {
	o := options{log: zerolog.Nop()}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{plan: plan, dir: entry.NewStaticDirectory(), cancel: cancel}
	if err := s.startGroups(ctx, o); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.startEntries(ctx, o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) startGroups(ctx context.Context, o options) error {
	member := append([]emul.Option{emul.WithSlots(s.plan.Slots), emul.WithConnections(s.plan.Connections)}, o.member...)
	for _, db := range s.plan.Databases {
		g, err := emul.StartGroup(ctx, db, s.plan.Zones, member...)
		if err != nil {
			return eris.Wrapf(err, "database %s", db)
		}
		s.groups = append(s.groups, g)
		view, err := s.view(db, g)
		if err != nil {
			return err
		}
		s.dir.Set(view)
	}
	return nil
}

func (s *Site) view(db string, g *emul.Group) (entry.Group, error) {
	h, err := group.NewHistory(group.Start{Term: 1})
	if err != nil {
		return entry.Group{}, err
	}
	out := entry.Group{Database: db, Term: 1, History: h, Primary: g.Member(0).Name()}
	for _, m := range g.Servers() {
		out.Members = append(out.Members, entry.Backend{
			Name: m.Member().Name(), Zone: m.Zone(), Addr: m.Addr(),
			Slots: s.plan.Slots, Connections: s.plan.Connections,
		})
	}
	return out, nil
}

func (s *Site) startEntries(ctx context.Context, o options) error {
	var key [32]byte
	if _, err := rand.Read(key[:]); err != nil {
		return err
	}
	for i := range s.plan.Entries {
		zone := s.plan.Zones[i%len(s.plan.Zones)]
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		opts := append([]entry.Option{
			entry.WithName("entry-" + strconv.Itoa(i+1)),
			entry.WithZone(zone),
			entry.WithLog(o.log),
			entry.WithSeed(uint64(i + 1)),
		}, o.entry...)
		e := entry.New(s.dir, token.New(key[:]), opts...)
		done := make(chan error, 1)
		go func() { done <- e.Serve(ctx, l) }()
		s.entries = append(s.entries, e)
		s.addrs = append(s.addrs, l.Addr().String())
		s.ls = append(s.ls, l)
		s.done = append(s.done, done)
	}
	return nil
}

// Groups returns the emulated groups in the order of the plan's databases.
func (s *Site) Groups() []*emul.Group { return s.groups }

// Entries returns the entries.
func (s *Site) Entries() []*entry.Server { return s.entries }

// Addr returns the address on which entry i serves callers.
func (s *Site) Addr(i int) string { return s.addrs[i] }

// Close stops everything and waits for it.
func (s *Site) Close() {
	for i, e := range s.entries {
		_ = s.ls[i].Close()
		e.Close()
		<-s.done[i]
	}
	for _, g := range s.groups {
		_ = g.Close()
	}
	s.cancel()
}
