package state

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/fleet"
	"tamarackcross/group"
)

// Section is the decoded content of a section: *Config, *Instance or *Database.
// Sections are shared between goroutines and must not be modified.
type Section interface {
	key() Key
	message() proto.Message
}

// Config is the configuration section: one version of the configuration.
type Config struct {
	version uint64
	id      string
	author  string
	at      time.Time
	text    []byte
	doc     *fleet.Document
	err     error
}

// Version returns the version, which starts at 1. Version 0 is the embedded
// default document.
func (c *Config) Version() uint64 { return c.version }

// ID returns the ID of the change that created this version.
func (c *Config) ID() string { return c.id }

// Author returns who submitted the change.
func (c *Config) Author() string { return c.author }

// At returns the time at which the change was proposed.
func (c *Config) At() time.Time { return c.at }

// Text returns the YAML text of the document as submitted. It must not be
// modified.
func (c *Config) Text() []byte { return c.text }

// Document returns the decoded document, or nil if Err returns an error.
func (c *Config) Document() *fleet.Document { return c.doc }

// Err returns why this release cannot decode the document. That happens only
// with a document written by a newer release.
func (c *Config) Err() error { return c.err }

func (c *Config) key() Key { return Key{Kind: KindConfig} }

func (c *Config) message() proto.Message { return c.proto() }

func (c *Config) proto() *ctlpb.StateConfig {
	return &ctlpb.StateConfig{Version: c.version, Id: c.id, Author: c.author, AtMs: c.at.UnixMilli(), Document: c.text}
}

func newConfig(p *ctlpb.StateConfig) *Config {
	c := &Config{version: p.GetVersion(), id: p.GetId(), author: p.GetAuthor(), at: time.UnixMilli(p.GetAtMs()), text: p.GetDocument()}
	c.doc, c.err = fleet.Parse(c.text)
	return c
}

// The roles of an instance.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Instance is the registration of one process of the proxy.
type Instance struct {
	Name        string
	Incarnation uint64
	Zone        string
	Addresses   []string
	Roles       []string
}

// HasRole reports whether the instance has the given role.
func (i *Instance) HasRole(role string) bool { return slices.Contains(i.Roles, role) }

func (i *Instance) key() Key { return Key{Kind: KindInstance, Name: i.Name} }

func (i *Instance) message() proto.Message { return i.proto() }

func (i *Instance) proto() *ctlpb.StateInstance {
	return &ctlpb.StateInstance{Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone, Addresses: i.Addresses, Roles: i.Roles}
}

func newInstance(p *ctlpb.StateInstance) *Instance {
	return &Instance{Name: p.GetName(), Incarnation: p.GetIncarnation(), Zone: p.GetZone(), Addresses: p.GetAddresses(), Roles: p.GetRoles()}
}

// Member is a backend server of one database.
type Member struct {
	Name        string // name of the backend server
	Incarnation uint64 // increases with each start of the backend server
	Store       string // ID of its data, new after a loss of the data
	Zone        string
	Address     string
	Slots       uint32
	Connections uint32
	Leaving     bool   // gets no new work; stays set until a higher incarnation is announced
	Gone        bool   // expired; the record stays so that an older incarnation is still refused
	Voter       bool   // majorities are majorities of the voters
	VoterStore  string // store with which the voter counts towards majorities
	// Owner is the entry instance that grants the slots of the member, or empty.
	// A change or a restart of the owner raises Epoch.
	Owner            string
	OwnerIncarnation uint64
	Epoch            uint64
	// FirstEpoch is the first epoch in which slots can have been granted. A
	// database is not served before its bootstrap.
	FirstEpoch uint64
}

// CountsInMajority reports whether the positions of the member count towards a
// majority. A voter that lost its data does not count, but it is still one of the
// voters of which a majority is needed.
func (m Member) CountsInMajority() bool { return m.Voter && m.Store == m.VoterStore }

// Database is the section of one database: its terms and members.
type Database struct {
	name    string
	history group.History
	primary string
	begun   uint64
	members []Member // ordered by name
}

// Name returns the name of the database.
func (d *Database) Name() string { return d.name }

// History returns the offset at which each term started.
func (d *Database) History() group.History { return d.history }

// Term returns the current term, or 0 before the bootstrap.
func (d *Database) Term() uint64 { return d.history.Term() }

// BegunTerm returns the highest term to which a promotion has begun. It equals
// Term if no promotion is in progress.
func (d *Database) BegunTerm() uint64 { return max(d.begun, d.Term()) }

// Promoting reports whether a promotion has begun and is not complete.
func (d *Database) Promoting() bool { return d.begun > d.Term() }

// Primary returns the name of the primary of Term, or "" before the bootstrap.
func (d *Database) Primary() string { return d.primary }

// Bootstrapped reports whether the database has its first term.
func (d *Database) Bootstrapped() bool { return d.Term() > 0 }

// Members returns the members ordered by name. The slice must not be modified.
func (d *Database) Members() []Member { return d.members }

// Member returns the member with the given name.
func (d *Database) Member(name string) (Member, bool) {
	if m := d.member(name); m != nil {
		return *m, true
	}
	return Member{}, false
}

// Majority returns how many members form a majority of the voters. Voters that
// are gone or that lost their data are included in the number of voters.
func (d *Database) Majority() int { return d.voters()/2 + 1 }

func (d *Database) voters() int {
	n := 0
	for i := range d.members {
		if d.members[i].Voter {
			n++
		}
	}
	return n
}

func (d *Database) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.members, name, func(m Member, n string) int { return strings.Compare(m.Name, n) })
}

func (d *Database) member(name string) *Member {
	if i, ok := d.find(name); ok {
		return &d.members[i]
	}
	return nil
}

func (d *Database) clone() *Database {
	c := *d
	c.members = slices.Clone(d.members)
	return &c
}

func (d *Database) key() Key { return Key{Kind: KindDatabase, Name: d.name} }

func (d *Database) message() proto.Message {
	p := &ctlpb.StateDatabase{Name: d.name, Primary: d.primary, BegunTerm: d.begun, History: historyProto(d.history)}
	for i := range d.members {
		p.Members = append(p.Members, d.members[i].proto())
	}
	return p
}

func (m *Member) proto() *ctlpb.StateMember {
	return &ctlpb.StateMember{
		Name: m.Name, Incarnation: m.Incarnation, Store: m.Store, Zone: m.Zone, Address: m.Address,
		Slots: m.Slots, Connections: m.Connections, Leaving: m.Leaving, Gone: m.Gone,
		Voter: m.Voter, VoterStore: m.VoterStore,
		Owner: m.Owner, OwnerIncarnation: m.OwnerIncarnation, Epoch: m.Epoch, FirstEpoch: m.FirstEpoch,
	}
}

func newMember(p *ctlpb.StateMember) Member {
	return Member{
		Name: p.GetName(), Incarnation: p.GetIncarnation(), Store: p.GetStore(), Zone: p.GetZone(), Address: p.GetAddress(),
		Slots: p.GetSlots(), Connections: p.GetConnections(), Leaving: p.GetLeaving(), Gone: p.GetGone(),
		Voter: p.GetVoter(), VoterStore: p.GetVoterStore(),
		Owner: p.GetOwner(), OwnerIncarnation: p.GetOwnerIncarnation(), Epoch: p.GetEpoch(), FirstEpoch: p.GetFirstEpoch(),
	}
}

func newDatabase(p *ctlpb.StateDatabase) (*Database, error) {
	history, err := newHistory(p.GetHistory())
	if err != nil {
		return nil, err
	}
	d := &Database{name: p.GetName(), primary: p.GetPrimary(), begun: p.GetBegunTerm(), history: history}
	d.members = make([]Member, 0, len(p.GetMembers()))
	for _, m := range p.GetMembers() {
		d.members = append(d.members, newMember(m))
	}
	if !slices.IsSortedFunc(d.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) }) {
		return nil, eris.Errorf("database %q: members are not ordered by name", d.name)
	}
	return d, nil
}

func historyProto(h group.History) []*ctlpb.StatePosition {
	var out []*ctlpb.StatePosition
	for _, s := range h.Starts() {
		out = append(out, &ctlpb.StatePosition{Term: s.Term, Offset: s.Offset})
	}
	return out
}

func newHistory(list []*ctlpb.StatePosition) (group.History, error) {
	starts := make([]group.TermStart, 0, len(list))
	for _, p := range list {
		starts = append(starts, group.TermStart{Term: p.GetTerm(), Offset: p.GetOffset()})
	}
	return group.NewHistory(starts...)
}

// deterministic encodes equal sections to equal bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

func newSectionEntry(s Section) *sectionEntry {
	data, err := deterministic.Marshal(s.message())
	if err != nil {
		panic(err) // fails only for invalid UTF-8, which validNames refuses
	}
	return &sectionEntry{key: s.key(), data: data, digest: digestOf(s.key(), data), value: s}
}

// decodeSectionEntry decodes a section of a delta or a snapshot. It keeps the
// bytes as received, so that digests agree even if another release encoded them.
func decodeSectionEntry(k Key, data []byte) (*sectionEntry, error) {
	s, err := decodeSection(k.Kind, data)
	if err != nil {
		return nil, eris.Wrapf(err, "section %s", k)
	}
	if s.key() != k {
		return nil, eris.Errorf("section %s holds the data of section %s", k, s.key())
	}
	return &sectionEntry{key: k, data: data, digest: digestOf(k, data), value: s}, nil
}

func decodeSection(kind Kind, data []byte) (Section, error) {
	switch kind {
	case KindConfig:
		var p ctlpb.StateConfig
		if err := proto.Unmarshal(data, &p); err != nil {
			return nil, err
		}
		return newConfig(&p), nil
	case KindInstance:
		var p ctlpb.StateInstance
		if err := proto.Unmarshal(data, &p); err != nil {
			return nil, err
		}
		return newInstance(&p), nil
	case KindDatabase:
		var p ctlpb.StateDatabase
		if err := proto.Unmarshal(data, &p); err != nil {
			return nil, err
		}
		return newDatabase(&p)
	default:
		return nil, eris.Errorf("unknown section kind %d", kind)
	}
}
