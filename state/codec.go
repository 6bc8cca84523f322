package state

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/group"
)

// Errors of DecodeCommand. An unknown command was written by a newer release. It
// must not be skipped: the state would then differ from that of other instances.
var (
	ErrMalformed      = eris.New("command is malformed")
	ErrUnknownCommand = eris.New("command is not known to this release")
)

// EncodeCommand returns the encoding of c in the control log.
func EncodeCommand(c Command) ([]byte, error) {
	p, err := commandProto(c)
	if err != nil {
		return nil, err
	}
	return deterministic.Marshal(p)
}

func commandProto(c Command) (*ctlpb.StateCommand, error) {
	switch c := c.(type) {
	case ApplyConfig:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_ApplyConfig{ApplyConfig: &ctlpb.StateApplyConfig{
			Id: c.ID, Base: c.Base, Document: c.Document, Author: c.Author, AtMs: c.At.UnixMilli(),
		}}}, nil
	case RegisterInstance:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_RegisterInstance{RegisterInstance: c.Instance.proto()}}, nil
	case RemoveInstance:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_RemoveInstance{RemoveInstance: &ctlpb.StateRemoveInstance{
			Name: c.Instance, Incarnation: c.Incarnation,
		}}}, nil
	case Announce:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_Announce{Announce: &ctlpb.StateAnnounce{
			Database: c.Database, Member: c.Member, Incarnation: c.Incarnation, Store: c.Store, Zone: c.Zone,
			Address: c.Address, Slots: c.Slots, Connections: c.Connections,
		}}}, nil
	case Leave:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_Leave{Leave: refProto(memberRef(c))}}, nil
	case Expire:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_Expire{Expire: refProto(memberRef(c))}}, nil
	case Rebalance:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_Rebalance{Rebalance: &ctlpb.StateRebalance{Zone: c.Zone}}}, nil
	default:
		return groupProto(c)
	}
}

func groupProto(c Command) (*ctlpb.StateCommand, error) {
	switch c := c.(type) {
	case BeginPromotion:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_BeginPromotion{BeginPromotion: &ctlpb.StateBeginPromotion{
			Database: c.Database, ExpectedTerm: c.ExpectedTerm, NewTerm: c.NewTerm,
		}}}, nil
	case CompletePromotion:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_CompletePromotion{CompletePromotion: &ctlpb.StateCompletePromotion{
			Database: c.Database, Term: c.Term, Primary: c.Primary, StartOffset: c.StartOffset,
		}}}, nil
	case MarkCaughtUp:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_MarkCaughtUp{MarkCaughtUp: &ctlpb.StateMarkCaughtUp{
			Database: c.Database, Member: c.Member, Store: c.Store,
			Position: &ctlpb.StatePosition{Term: c.Position.Term, Offset: c.Position.Offset},
		}}}, nil
	case BootstrapGroup:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_BootstrapGroup{BootstrapGroup: &ctlpb.StateBootstrapGroup{
			Database: c.Database, Primary: c.Primary, History: historyProto(c.History), Voters: c.Voters,
		}}}, nil
	case RetireMember:
		return &ctlpb.StateCommand{Command: &ctlpb.StateCommand_RetireMember{RetireMember: &ctlpb.StateRetireMember{
			Database: c.Database, Member: c.Member, Term: c.Term,
		}}}, nil
	default:
		return nil, eris.Wrapf(ErrUnknownCommand, "%T", c)
	}
}

// memberRef holds the fields that Leave and Expire have in common.
type memberRef struct {
	Database    string
	Member      string
	Incarnation uint64
}

func refProto(r memberRef) *ctlpb.StateMemberRef {
	return &ctlpb.StateMemberRef{Database: r.Database, Member: r.Member, Incarnation: r.Incarnation}
}

func newRef(p *ctlpb.StateMemberRef) memberRef {
	return memberRef{Database: p.GetDatabase(), Member: p.GetMember(), Incarnation: p.GetIncarnation()}
}

// DecodeCommand decodes what EncodeCommand returns.
func DecodeCommand(data []byte) (Command, error) {
	var p ctlpb.StateCommand
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	switch c := p.GetCommand().(type) {
	case *ctlpb.StateCommand_ApplyConfig:
		a := c.ApplyConfig
		return ApplyConfig{ID: a.GetId(), Base: a.GetBase(), Document: a.GetDocument(), Author: a.GetAuthor(), At: time.UnixMilli(a.GetAtMs())}, nil
	case *ctlpb.StateCommand_RegisterInstance:
		return RegisterInstance{Instance: *newInstance(c.RegisterInstance)}, nil
	case *ctlpb.StateCommand_RemoveInstance:
		return RemoveInstance{Instance: c.RemoveInstance.GetName(), Incarnation: c.RemoveInstance.GetIncarnation()}, nil
	case *ctlpb.StateCommand_Announce:
		a := c.Announce
		return Announce{
			Database: a.GetDatabase(), Member: a.GetMember(), Incarnation: a.GetIncarnation(), Store: a.GetStore(), Zone: a.GetZone(),
			Address: a.GetAddress(), Slots: a.GetSlots(), Connections: a.GetConnections(),
		}, nil
	case *ctlpb.StateCommand_Leave:
		return Leave(newRef(c.Leave)), nil
	case *ctlpb.StateCommand_Expire:
		return Expire(newRef(c.Expire)), nil
	case *ctlpb.StateCommand_Rebalance:
		return Rebalance{Zone: c.Rebalance.GetZone()}, nil
	default:
		return decodeGroup(&p)
	}
}

func decodeGroup(p *ctlpb.StateCommand) (Command, error) {
	switch c := p.GetCommand().(type) {
	case *ctlpb.StateCommand_BeginPromotion:
		b := c.BeginPromotion
		return BeginPromotion{Database: b.GetDatabase(), ExpectedTerm: b.GetExpectedTerm(), NewTerm: b.GetNewTerm()}, nil
	case *ctlpb.StateCommand_CompletePromotion:
		f := c.CompletePromotion
		return CompletePromotion{Database: f.GetDatabase(), Term: f.GetTerm(), Primary: f.GetPrimary(), StartOffset: f.GetStartOffset()}, nil
	case *ctlpb.StateCommand_MarkCaughtUp:
		m := c.MarkCaughtUp
		at := group.Position{Term: m.GetPosition().GetTerm(), Offset: m.GetPosition().GetOffset()}
		return MarkCaughtUp{Database: m.GetDatabase(), Member: m.GetMember(), Store: m.GetStore(), Position: at}, nil
	case *ctlpb.StateCommand_BootstrapGroup:
		b := c.BootstrapGroup
		h, err := newHistory(b.GetHistory())
		if err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
		return BootstrapGroup{Database: b.GetDatabase(), Primary: b.GetPrimary(), History: h, Voters: b.GetVoters()}, nil
	case *ctlpb.StateCommand_RetireMember:
		r := c.RetireMember
		return RetireMember{Database: r.GetDatabase(), Member: r.GetMember(), Term: r.GetTerm()}, nil
	default:
		return nil, ErrUnknownCommand
	}
}
