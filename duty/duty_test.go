package duty_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"

	"tamarackcross/duty"
	"tamarackcross/group"
)

// TestSupervisor guards against replacing a primary that works, against choosing a
// successor that lacks acknowledged commits, and against a promotion order that is
// not repeated. The scripts list events and the actions that they cause.
func TestSupervisor(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		now := start
		s := duty.New(now, duty.WithSuccession(duty.Immediate))
		var view duty.View
		rounds := make(map[string]uint64) // of the last questions, by member
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			var step func(duty.Event)
			step = func(e duty.Event) {
				admitted := s.Admits(now)
				for _, a := range s.Step(e, now) {
					recordRound(rounds, a)
					fmt.Fprintf(&out, "%d ms: %s\n", now.Sub(start).Milliseconds(), formatAction(a))
				}
				if admitted && !s.Admits(now) {
					step(view)
				}
			}
			switch d.Cmd {
			case "overlapping":
				s = duty.New(now, duty.WithSuccession(duty.Overlapping))
			case "elected":
				s = duty.New(now, duty.WithSuccession(duty.Immediate))
			case "members":
				view = parseView(t, d, now)
			case "wait":
				// The view is sent every 50 ms, as by the controller.
				for n := parseInt(t, d.CmdArgs[0].Key); n > 0; n -= 50 {
					now = now.Add(50 * time.Millisecond)
					step(view)
				}
			case "admits":
				fmt.Fprintln(&out, s.Admits(now))
			case "status":
				for line := range strings.SplitSeq(d.Input, "\n") {
					step(parseStatus(t, line, rounds))
				}
			case "issued":
				e := duty.TokenResult{Target: d.CmdArgs[0].Key}
				if d.CmdArgs[1].Key == "lost" {
					e.Err = eris.New("no answer")
				} else {
					e.Token = uint64(parseInt(t, d.CmdArgs[1].Key))
				}
				step(e)
			case "called":
				c := duty.PromoteResult{Target: d.CmdArgs[0].Key}
				switch d.CmdArgs[1].Key {
				case "lost":
					c.Err = eris.New("no answer")
				case "outdated":
					c.Err, c.Outdated = eris.New("refused"), true
				}
				step(c)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			if out.Len() == 0 {
				return "nothing"
			}
			return out.String()
		})
	})
}

// recordRound records the round in which a member is asked.
func recordRound(rounds map[string]uint64, a duty.Action) {
	switch a := a.(type) {
	case duty.AskStatus:
		rounds[a.ID] = a.Round
	case duty.StepDown:
		rounds[a.ID] = a.Round
	case duty.Pause:
		rounds[a.ID] = a.Round
	}
}

func formatAction(a duty.Action) string {
	switch a := a.(type) {
	case duty.AskStatus:
		return "ask " + a.ID
	case duty.StepDown:
		return fmt.Sprintf("step down %s below term %d", a.ID, a.Term)
	case duty.Pause:
		return fmt.Sprintf("pause %s for term %d", a.ID, a.Term)
	case duty.Resume:
		return "resume " + a.ID
	case duty.OpenResume:
		return "record that replicas are told to receive again"
	case duty.CloseResume:
		return fmt.Sprintf("record that %d is over", a.Token)
	case duty.ForgetMembers:
		return fmt.Sprintf("forget %v", a.IDs)
	case duty.KeepMember:
		return "keep " + a.ID
	case duty.CloseOrders:
		return fmt.Sprintf("close the orders %v", a.Tokens)
	case duty.IssueToken:
		return "issue token for " + a.Target
	case duty.RecordTerm:
		out := fmt.Sprintf("record that term %d started at %d to %d", a.Start.Term, a.Start.Least, a.Start.Most)
		if a.Renewed {
			out += ", in a new group"
		}
		return out
	case duty.Promote:
		return fmt.Sprintf("promote %s with token %d", a.Target, a.Token)
	case duty.Recall:
		return "recall the leases"
	case duty.Restore:
		return "allow leases again"
	case duty.Depose:
		return "depose " + a.ID
	case duty.Note:
		return fmt.Sprintf("note %q %s", a.Text, a.Member)
	default:
		return fmt.Sprintf("%T", a)
	}
}

// parseView reads lines such as "m1 primary draining failing=2". leaving=1500 means that it was first
// acknowledged 1,500 ms ago that the member is draining.
func parseView(t *testing.T, d *datadriven.TestData, now time.Time) duty.View {
	t.Helper()
	view := duty.View{}
	d.ScanArgs(t, "instances", &view.Instances)
	if d.HasArg("sync") {
		d.ScanArgs(t, "sync", &view.SyncReplicas)
	}
	if d.HasArg("appointed") {
		d.ScanArgs(t, "appointed", &view.Appointed)
	}
	if d.HasArg("ordered") {
		d.ScanArgs(t, "ordered", &view.Ordered)
	}
	if d.HasArg("open") {
		var open string
		d.ScanArgs(t, "open", &open)
		view.Open = parseOrders(t, open)
	}
	if d.HasArg("resume") {
		d.ScanArgs(t, "resume", &view.Resume)
	}
	if d.HasArg("held") {
		var held string
		d.ScanArgs(t, "held", &held)
		view.Held = parsePosition(t, held)
	}
	if d.HasArg("starts") {
		var starts string
		d.ScanArgs(t, "starts", &starts)
		view.Starts = parseStarts(t, starts)
	}
	view.MayPromote, view.Reassert = d.HasArg("released"), d.HasArg("reassert")
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		m := duty.Member{ID: f[0]}
		for _, word := range f[1:] {
			switch {
			case word == "primary":
				m.Primary = true
			case word == "draining":
				m.Draining = true
			case word == "ended":
				m.Standing = duty.Ended
			case word == "forgotten":
				m.Standing = duty.Forgotten
			case strings.HasPrefix(word, "leaving="):
				m.Draining, m.LeavingSince = true, now.Add(-time.Duration(parseInt(t, strings.TrimPrefix(word, "leaving=")))*time.Millisecond)
			case strings.HasPrefix(word, "born="):
				m.Born = int64(parseInt(t, strings.TrimPrefix(word, "born=")))
			case strings.HasPrefix(word, "failing="):
				m.FailingInstances = parseInt(t, strings.TrimPrefix(word, "failing="))
			}
		}
		view.Members = append(view.Members, m)
	}
	return view
}

// parseOrders reads "MEMBER:TOKEN" fields that are separated by semicolons.
func parseOrders(t *testing.T, text string) (out []duty.OpenOrder) {
	t.Helper()
	for field := range strings.SplitSeq(text, ";") {
		target, token, _ := strings.Cut(field, ":")
		out = append(out, duty.OpenOrder{Target: target, Token: uint64(parseInt(t, token))})
	}
	return out
}

// parseStatus reads "m1 primary term=2 received=2/17 paused=3", "m1 busy" or "m1 silent". The answer is to the last
// question in rounds, or to the one before if it is "earlier". "resumed" marks the outcome of a command to receive
// again, "refused" that the member will not carry it out. "down" and "replaced" are failures that tell that it does not
// run at its address.
func parseStatus(t *testing.T, line string, rounds map[string]uint64) duty.Status {
	t.Helper()
	f := strings.Fields(line)
	st := duty.Status{ID: f[0], Round: rounds[f[0]]}
	for _, word := range f[1:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "primary":
			st.Primary = true
		case "earlier":
			st.Round--
		case "resumed":
			st.Resumed = true
		case "down":
			st.Down, st.Err = true, eris.New("connection refused")
		case "replaced":
			st.Replaced, st.Err = true, eris.New("another server")
		case "refused":
			st.Refused, st.Err = true, eris.New("refused")
		case "busy":
			st.Busy, st.Err = true, eris.New("busy")
		case "silent":
			st.Err = eris.New("no answer")
		case "term":
			st.Term = uint64(parseInt(t, value))
		case "paused":
			st.PausedTerm = uint64(parseInt(t, value))
		case "received":
			st.Received = parsePosition(t, value)
		}
	}
	return st
}

func parsePosition(t *testing.T, text string) group.Position {
	t.Helper()
	p, err := group.ParsePosition(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// parseStarts reads "TERM@LEAST-MOST" fields that are separated by semicolons.
func parseStarts(t *testing.T, text string) (out group.Starts) {
	t.Helper()
	for field := range strings.SplitSeq(text, ";") {
		term, offsets, _ := strings.Cut(field, "@")
		least, most, _ := strings.Cut(offsets, "-")
		out = out.With(group.StartRange{Term: uint64(parseInt(t, term)), Least: uint64(parseInt(t, least)), Most: uint64(parseInt(t, most))})
	}
	return out
}

func parseInt(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
