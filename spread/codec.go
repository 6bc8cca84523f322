package spread

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/state"
)

// ErrMalformed is the error for a message that cannot be encoded or decoded.
var ErrMalformed = eris.New("spread message is malformed")

// Encode returns the wire format of m.
func Encode(m Message) ([]byte, error) {
	p := &ctlpb.SpreadMessage{From: m.Sender()}
	switch m := m.(type) {
	case Push:
		p.Message = &ctlpb.SpreadMessage_Push{Push: m.Delta.Proto()}
	case Summary:
		p.Message = &ctlpb.SpreadMessage_Summary{Summary: &ctlpb.SpreadSummary{
			Purpose: ctlpb.SpreadSummary_Purpose(m.Purpose), Stamp: m.Stamp.Proto(), Digest: m.Digest,
		}}
	case Pull:
		p.Message = &ctlpb.SpreadMessage_Pull{Pull: &ctlpb.SpreadPull{Have: m.Have.Proto(), Groups: m.Buckets}}
	case Batch:
		p.Message = &ctlpb.SpreadMessage_Batch{Batch: batchProto(m)}
	case Outline:
		p.Message = &ctlpb.SpreadMessage_Outline{Outline: outlineProto(m)}
	case Fetch:
		p.Message = &ctlpb.SpreadMessage_Fetch{Fetch: fetchProto(m)}
	case Sections:
		p.Message = &ctlpb.SpreadMessage_Sections{Sections: sectionsProto(m)}
	default:
		return nil, eris.Wrapf(ErrMalformed, "%T", m)
	}
	return proto.Marshal(p)
}

func batchProto(m Batch) *ctlpb.SpreadBatch {
	p := &ctlpb.SpreadBatch{}
	for _, d := range m.Deltas {
		p.Deltas = append(p.Deltas, d.Proto())
	}
	return p
}

func outlineProto(m Outline) *ctlpb.SpreadOutline {
	p := &ctlpb.SpreadOutline{Stamp: m.Stamp.Proto(), Digest: m.Digest}
	for _, b := range m.Buckets {
		p.Groups = append(p.Groups, uint32(b))
	}
	for _, s := range m.Sections {
		p.Sections = append(p.Sections, &ctlpb.SpreadSectionDigest{Kind: uint32(s.Key.Kind), Name: s.Key.Name, Digest: s.Digest})
	}
	return p
}

func fetchProto(m Fetch) *ctlpb.SpreadFetch {
	p := &ctlpb.SpreadFetch{Stamp: m.Stamp.Proto()}
	for _, k := range m.Keys {
		p.Keys = append(p.Keys, state.Change{Key: k}.Proto())
	}
	return p
}

func sectionsProto(m Sections) *ctlpb.SpreadSections {
	p := &ctlpb.SpreadSections{
		Stamp: m.Stamp.Proto(), Digest: m.Digest, Whole: m.Whole, Part: uint32(m.Part), Parts: uint32(m.Parts),
	}
	for _, c := range m.Changes {
		p.Changes = append(p.Changes, c.Proto())
	}
	return p
}

// Decode parses a message in the wire format.
func Decode(data []byte) (Message, error) {
	var p ctlpb.SpreadMessage
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	head := Head{From: p.GetFrom()}
	switch m := p.GetMessage().(type) {
	case *ctlpb.SpreadMessage_Push:
		return Push{Head: head, Delta: state.DeltaOf(m.Push)}, nil
	case *ctlpb.SpreadMessage_Summary:
		s := m.Summary
		return Summary{Head: head, Purpose: Purpose(s.GetPurpose()), Stamp: state.StampOf(s.GetStamp()), Digest: s.GetDigest()}, nil
	case *ctlpb.SpreadMessage_Pull:
		return Pull{Head: head, Have: state.StampOf(m.Pull.GetHave()), Buckets: m.Pull.GetGroups()}, nil
	case *ctlpb.SpreadMessage_Batch:
		return decodeBatch(head, m.Batch), nil
	case *ctlpb.SpreadMessage_Outline:
		return decodeOutline(head, m.Outline)
	case *ctlpb.SpreadMessage_Fetch:
		f := Fetch{Head: head, Stamp: state.StampOf(m.Fetch.GetStamp())}
		for _, c := range state.ChangesOf(m.Fetch.GetKeys()) {
			f.Keys = append(f.Keys, c.Key)
		}
		return f, nil
	case *ctlpb.SpreadMessage_Sections:
		return decodeSections(head, m.Sections)
	default:
		return nil, ErrMalformed
	}
}

func decodeBatch(head Head, p *ctlpb.SpreadBatch) Batch {
	b := Batch{Head: head}
	for _, d := range p.GetDeltas() {
		b.Deltas = append(b.Deltas, state.DeltaOf(d))
	}
	return b
}

func decodeOutline(head Head, p *ctlpb.SpreadOutline) (Message, error) {
	o := Outline{Head: head, Stamp: state.StampOf(p.GetStamp()), Digest: p.GetDigest()}
	for _, b := range p.GetGroups() {
		if b >= state.NumBuckets {
			return nil, eris.Wrapf(ErrMalformed, "outline lists unknown bucket %d", b)
		}
		o.Buckets = append(o.Buckets, int(b))
	}
	for _, s := range p.GetSections() {
		k := state.Key{Kind: state.Kind(min(s.GetKind(), 255)), Name: s.GetName()}
		o.Sections = append(o.Sections, SectionDigest{Key: k, Digest: s.GetDigest()})
	}
	return o, nil
}

func decodeSections(head Head, p *ctlpb.SpreadSections) (Message, error) {
	if p.GetParts() > maxParts || p.GetPart() >= p.GetParts() {
		return nil, eris.Wrapf(ErrMalformed, "invalid part number %d of %d", p.GetPart(), p.GetParts())
	}
	return Sections{
		Head: head, Stamp: state.StampOf(p.GetStamp()), Digest: p.GetDigest(), Whole: p.GetWhole(),
		Part: int(p.GetPart()), Parts: int(p.GetParts()), Changes: state.ChangesOf(p.GetChanges()),
	}, nil
}
