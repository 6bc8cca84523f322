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

// fault returns a command that injects or ends a failure of an instance, a member
// or the network.
func (s *scenario) fault(d *datadriven.TestData) func() string {
	var targets []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			targets = append(targets, s.resolve(a.Key))
		}
	}
	cmd, value := d.Cmd, s.durationArg(d, "to", 0) // read now: d is reused for the next directive while an async one runs
	return func() string {
		if len(targets) == 0 {
			return "command has no target"
		}
		if done, err := s.networkFault(cmd, targets); done {
			return s.okOrError(err)
		}
		if i := s.instance(targets[0]); i >= 0 {
			return s.instanceFault(cmd, i)
		}
		if srv := s.server(targets[0]); srv != nil {
			return s.okOrError(s.memberFault(cmd, srv, value))
		}
		return "no instance, member or zone has the name " + targets[0]
	}
}

func (s *scenario) networkFault(cmd string, targets []string) (bool, error) {
	n := s.site.Network()
	switch cmd {
	case "cut":
		n.Cut(targets[0], targets[1])
	case "heal":
		n.Heal(targets[0], targets[1])
	case "isolate":
		n.Isolate(targets[0])
	case "rejoin":
		n.Rejoin(targets[0])
	case "silence":
		n.SilenceExisting(targets[0], targets[1])
	default:
		return false, nil
	}
	return true, nil
}

func (s *scenario) memberFault(cmd string, srv *emul.Server, value time.Duration) error {
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
		m.SetApplyLag(value)
	case "shiplag":
		m.SetAckDelay(value)
	case "service":
		m.SetServiceTime(value)
	case "leave":
		s.site.Leave(m.Name())
	default:
		return fmt.Errorf("unknown command %s", cmd)
	}
	return nil
}

func (s *scenario) instanceFault(cmd string, i int) string {
	switch cmd {
	case "kill":
		s.site.StopInstance(i)
	case "start":
		return s.okOrError(s.site.StartInstance(i))
	case "wipe":
		return s.okOrError(s.site.WipeInstance(i))
	case "shutdown":
		ctx, stop := context.WithTimeout(s.ctx, defaultTimeout)
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

// awaitConditions waits for the given conditions one after another.
func (s *scenario) awaitConditions(d *datadriven.TestData) string {
	timeout := s.durationArg(d, "limit", defaultTimeout)
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
		if !s.await(timeout, cond) {
			return fmt.Sprintf("condition not met within %s: %s %s\n%s", timeout, a.Key, value, s.describeState())
		}
	}
	return "ok"
}

func (s *scenario) condition(name, value string) func() bool {
	n, _ := strconv.Atoi(value)
	switch name {
	case "replaced": // another member is the primary
		return func() bool { p := s.primary(); return p != "" && p != value }
	case "following": // every member is in the term of the primary, and no other one has its role
		return s.followsPrimary
	case "progress": // every worker has n more acknowledged requests
		return s.progress(n)
	case "resumed": // each load has n more acknowledged requests, summed over its workers
		return s.resumed(n)
	case "version": // every running instance is at the configuration version
		return func() bool {
			return s.allRunning(func(i int) bool { return s.site.Instance(i).Fleet().Version == uint64(n) })
		}
	case "ready": // every running instance accepts callers
		return func() bool { return s.allRunning(func(i int) bool { return s.site.Instance(i).Ready() == nil }) }
	case "repaired": // every control instance is a voter, and there is no other member
		return s.controlRepaired
	case "idle": // the member executes no statement for idleDuration
		return s.idle(s.server(value).Member())
	case "busy": // the member is executing a statement
		m := s.server(value).Member()
		return func() bool { return m.BusySlots() > 0 }
	}
	return nil
}

func (s *scenario) describeState() string {
	var out []string
	for _, srv := range s.site.Servers(database) {
		out = append(out, fmt.Sprintf("%+v", srv.Member().Status()))
	}
	for i, in := range s.site.Instances() {
		f := in.Fleet()
		out = append(out, fmt.Sprintf("%s stopped=%t ready=%v version=%d index=%d", in.Name(), s.site.Stopped(i), in.Ready(), f.Version, f.Index))
	}
	for _, l := range s.loads {
		out = append(out, fmt.Sprint(l.ackCounts()))
	}
	return strings.Join(out, "\n")
}

func (s *scenario) allRunning(f func(i int) bool) bool {
	for i := range s.site.Plan().Entries {
		if !s.site.Stopped(i) && !f(i) {
			return false
		}
	}
	return true
}

func (s *scenario) followsPrimary() bool {
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

func (s *scenario) progress(n int) func() bool {
	var before [][]int
	for _, l := range s.loads {
		before = append(before, l.ackCounts())
	}
	return func() bool {
		for i, l := range s.loads {
			for j, acked := range l.ackCounts() {
				if acked < before[i][j]+n {
					return false
				}
			}
		}
		return true
	}
}

func (s *scenario) resumed(n int) func() bool {
	var before []int
	for _, l := range s.loads {
		before = append(before, sum(l.ackCounts()))
	}
	return func() bool {
		for i, l := range s.loads {
			if sum(l.ackCounts()) < before[i]+n {
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

func (s *scenario) controlRepaired() bool {
	members := s.site.Instance(s.leader()).Control().Status().Members
	for i := range s.site.Plan().Control {
		if s.site.Stopped(i) || !members.IsVoter(s.site.Instance(i).Control().Identity()) {
			return false
		}
	}
	return len(members) == s.site.Plan().Control
}

// idleDuration is how long a member must execute nothing to count as unused. The
// scenarios send it statements much more often before it leaves.
const idleDuration = 300 * time.Millisecond

func (s *scenario) idle(m *emul.Member) func() bool {
	idleSince := time.Now()
	return func() bool {
		if m.BusySlots() > 0 {
			idleSince = time.Now()
		}
		return time.Since(idleSince) > idleDuration
	}
}
