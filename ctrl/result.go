package ctrl

import (
	"errors"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
	"tamarackcross/state"
)

// ResultToProto encodes the result of a command.
func ResultToProto(r state.Result) *ctlpb.CommandResult {
	switch r := r.(type) {
	case state.Done:
		return &ctlpb.CommandResult{Result: &ctlpb.CommandResult_Done{Done: &ctlpb.ResultDone{Changed: r.Changed}}}
	case state.ConfigAccepted:
		return &ctlpb.CommandResult{Result: &ctlpb.CommandResult_Accepted{
			Accepted: &ctlpb.ResultAccepted{Id: r.ID, Version: r.Version},
		}}
	case state.ConfigConflict:
		return &ctlpb.CommandResult{Result: &ctlpb.CommandResult_Conflict{Conflict: &ctlpb.ResultConflict{
			Id: r.ID, Base: r.Base, Current: r.Current,
			WinnerId: r.Winner.ID, WinnerVersion: r.Winner.Version, WinnerAuthor: r.Winner.Author,
		}}}
	case state.Refused:
		return &ctlpb.CommandResult{Result: &ctlpb.CommandResult_Refused{
			Refused: &ctlpb.ResultRefused{Reason: string(r.Reason), Detail: r.Detail},
		}}
	}
	return nil
}

// ResultFromProto decodes the result of a command.
func ResultFromProto(p *ctlpb.CommandResult) (state.Result, error) {
	switch r := p.GetResult().(type) {
	case *ctlpb.CommandResult_Done:
		return state.Done{Changed: r.Done.GetChanged()}, nil
	case *ctlpb.CommandResult_Accepted:
		return state.ConfigAccepted{ID: r.Accepted.GetId(), Version: r.Accepted.GetVersion()}, nil
	case *ctlpb.CommandResult_Conflict:
		c := r.Conflict
		return state.ConfigConflict{
			ID: c.GetId(), Base: c.GetBase(), Current: c.GetCurrent(),
			Winner: state.ConfigChange{ID: c.GetWinnerId(), Version: c.GetWinnerVersion(), Author: c.GetWinnerAuthor()},
		}, nil
	case *ctlpb.CommandResult_Refused:
		return state.Refused{Reason: state.Reason(r.Refused.GetReason()), Detail: r.Refused.GetDetail()}, nil
	}
	return nil, eris.New("command result has an unknown type")
}

func isNotLeader(err error) bool { return errors.Is(err, ErrNotLeader) }
