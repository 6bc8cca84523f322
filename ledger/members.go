package ledger

import (
	"slices"
)

// MemberState is the state of a Member.
type MemberState uint8

// The states.
const (
	Counted   MemberState = iota // it may hold acknowledged commits that others lack
	Ended                        // the same, but it has stopped for good
	Forgotten                    // others hold all that it may have confirmed
)

// Member is a backend server that may have confirmed commits of its service.
type Member struct {
	ID    string
	Born  int64 // identifies its start
	Addr  string
	State MemberState `json:",omitempty"`
}

// RecordMembers records members of Service, or changes of their state. Those of an earlier start than is known are
// ignored.
type RecordMembers struct {
	Service string
	Members []Member
}

// DropMembers forgets all members of Service, whose commits do not wait for replicas any more.
type DropMembers struct{ Service string }

// MembersRecorded is the result of RecordMembers and DropMembers.
type MembersRecorded struct{}

// maxForgotten is the number of members of a service that are kept although they are forgotten, so that they are not
// taken for new ones.
const maxForgotten = 32

func (l *Ledger) recordMembers(c RecordMembers) Result {
	if l.state.Members == nil {
		l.state.Members = make(map[string][]Member)
	}
	members := slices.Clone(l.state.Members[c.Service])
	for _, m := range c.Members {
		i := slices.IndexFunc(members, func(old Member) bool { return old.ID == m.ID })
		switch {
		case i < 0:
			members = append(members, m)
		case m.Born >= members[i].Born:
			members[i] = m
		}
	}
	l.state.Members[c.Service] = pruneForgotten(members)
	return MembersRecorded{}
}

// pruneForgotten removes the members that were recorded first if more than maxForgotten are forgotten.
func pruneForgotten(members []Member) []Member {
	surplus := -maxForgotten
	for _, m := range members {
		if m.State == Forgotten {
			surplus++
		}
	}
	return slices.DeleteFunc(members, func(m Member) bool {
		if m.State != Forgotten || surplus <= 0 {
			return false
		}
		surplus--
		return true
	})
}

// Members returns the recorded members of a service. The caller must not change them.
func (l *Ledger) Members(service string) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Members[service]
}

// ServicesWithMembers returns the services that have recorded members.
func (l *Ledger) ServicesWithMembers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for service := range l.state.Members {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}
