package site_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/emul"
)

// fault returns a command that makes a failure, or ends one.
func (s *scene) fault(d *datadriven.TestData) func() string {
	var names []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			names = append(names, s.resolve(a.Key))
		}
	}
	cmd, after := d.Cmd, s.duration(d, "to", 0) // d is reused for the next directive while an async one runs
	return func() string {
		if len(names) == 0 {
			return "no name given"
		}
		if done, err := s.networkFault(cmd, names); done {
			return s.result(err)
		}
		if i := s.instance(names[0]); i >= 0 {
			return s.instanceFault(cmd, i)
		}
		if srv := s.server(names[0]); srv != nil {
			return s.result(s.memberFault(cmd, srv, after))
		}
		return "nothing has the name " + names[0]
	}
}

func (s *scene) networkFault(cmd string, names []string) (bool, error) {
	n := s.site.Network()
	switch cmd {
	case "cut":
		n.Cut(names[0], names[1])
	case "heal":
		n.Heal(names[0], names[1])
	case "isolate":
		n.Isolate(names[0])
	case "rejoin":
		n.Rejoin(names[0])
	case "silence":
		n.SilenceExisting(names[0], names[1])
	default:
		return false, nil
	}
	return true, nil
}

func (s *scene) memberFault(cmd string, srv *emul.Server, to time.Duration) error {
	m := srv.Member()
	switch cmd {
	case "kill":
		return srv.Stop()
	case "start":
		return srv.Start(s.ctx)
	case "freeze":
		m.Freeze()
	case "thaw":
		m.Thaw()
	case "wipe":
		m.Wipe()
	case "lag":
		m.SetApplyLag(to)
	case "shiplag":
		m.SetShipLag(to)
	case "service":
		m.SetService(to)
	case "leave":
		s.site.Leave(m.Name())
	default:
		return fmt.Errorf("unknown command %s", cmd)
	}
	return nil
}

func (s *scene) instanceFault(cmd string, i int) string {
	switch cmd {
	case "kill":
		s.site.StopInstance(i)
	case "start":
		return s.result(s.site.StartInstance(i))
	case "wipe":
		return s.result(s.site.WipeInstance(i))
	case "shutdown":
		ctx, stop := context.WithTimeout(s.ctx, limit)
		defer stop()
		cut, err := s.site.ShutdownInstance(ctx, i)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("cut %d", cut)
	default:
		return "unknown command " + cmd
	}
	return "ok"
}

// awaitAll waits for conditions, one after the other.
func (s *scene) awaitAll(d *datadriven.TestData) string {
	within := s.duration(d, "limit", limit)
	for _, a := range d.CmdArgs {
		if a.Key == "limit" {
			continue
		}
		value := ""
		if len(a.Vals) > 0 {
			value = s.resolve(a.Vals[0])
		}
		cond := s.condition(a.Key, value)
		if cond == nil {
			return "unknown condition " + a.Key
		}
		if !s.await(within, cond) {
			return fmt.Sprintf("not within %s: %s %s\n%s", within, a.Key, value, s.describe())
		}
	}
	return "ok"
}

func (s *scene) condition(name, value string) func() bool {
	n, _ := strconv.Atoi(value)
	switch name {
	case "replaced": // another member is the primary
		return func() bool { p := s.primary(); return p != "" && p != value }
	case "following": // every member follows the primary of the newest term
		return s.following
	case "progress": // every worker had n more requests acknowledged
		return s.progress(n)
	case "resumed": // n more requests were acknowledged to some worker of each load
		return s.resumed(n)
	case "version": // every running instance has the configuration version
		return func() bool {
			return s.running(func(i int) bool { return s.site.Instance(i).Fleet().Version == uint64(n) })
		}
	case "ready": // every running instance takes callers
		return func() bool { return s.running(func(i int) bool { return s.site.Instance(i).Ready() == nil }) }
	case "repaired": // every control member votes, and no other identity does
		return s.repaired
	case "idle": // the member gets no work for a while
		return s.idle(s.server(value).Member())
	case "busy": // the member executes a statement
		m := s.server(value).Member()
		return func() bool { return m.Busy() > 0 }
	}
	return nil
}

func (s *scene) describe() string {
	var out []string
	for _, srv := range s.site.Servers(database) {
		out = append(out, fmt.Sprintf("%+v", srv.Member().Status()))
	}
	for i, in := range s.site.Instances() {
		f := in.Fleet()
		out = append(out, fmt.Sprintf("%s stopped=%t ready=%v version=%d index=%d", in.Name(), s.site.Stopped(i), in.Ready(), f.Version, f.Index))
	}
	for _, l := range s.loads {
		out = append(out, fmt.Sprint(l.acks()))
	}
	return strings.Join(out, "\n")
}

func (s *scene) running(f func(i int) bool) bool {
	for i := range s.site.Plan().Entries {
		if !s.site.Stopped(i) && !f(i) {
			return false
		}
	}
	return true
}

func (s *scene) following() bool {
	primary := s.primary()
	if s.server(primary) == nil {
		return false
	}
	term := s.server(primary).Member().Status().Term
	for _, srv := range s.site.Servers(database) {
		st := srv.Member().Status()
		if st.Term != term || (st.Role == emul.Primary) != (st.Member == primary) {
			return false
		}
	}
	return true
}

func (s *scene) progress(n int) func() bool {
	var before [][]int
	for _, l := range s.loads {
		before = append(before, l.acks())
	}
	return func() bool {
		for i, l := range s.loads {
			for j, acked := range l.acks() {
				if acked < before[i][j]+n {
					return false
				}
			}
		}
		return true
	}
}

func (s *scene) resumed(n int) func() bool {
	var before []int
	for _, l := range s.loads {
		before = append(before, sum(l.acks()))
	}
	return func() bool {
		for i, l := range s.loads {
			if sum(l.acks()) < before[i]+n {
				return false
			}
		}
		return true
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

func (s *scene) repaired() bool {
	members := s.site.Instance(s.leader()).Node().Status().Members
	for i := range s.site.Plan().Control {
		if s.site.Stopped(i) || !members.IsVoter(s.site.Instance(i).Node().Identity()) {
			return false
		}
	}
	return len(members) == s.site.Plan().Control
}

// idleTime is how long a member must be without work to count as unused. The
// scenarios offer it work much more often than that before it leaves.
const idleTime = 300 * time.Millisecond

func (s *scene) idle(m *emul.Member) func() bool {
	since := time.Now()
	return func() bool {
		if m.Busy() > 0 {
			since = time.Now()
		}
		return time.Since(since) > idleTime
	}
}
