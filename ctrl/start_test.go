package ctrl_test

import (
	"context"
	"testing"
	"time"

	"tamarackcross/raft"
)

// TestKilledBeforeBootstrap guards against control that never forms its log because its members were killed before, while
// one of them was down: when they start again it is not the first start any more.
func TestKilledBeforeBootstrap(t *testing.T) {
	for name, wipe := range map[string]bool{"disks kept": false, "one disk lost, or never written": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 0)
			c.hosted = true
			c.addMembers(3)
			for _, m := range c.members[1:] {
				c.start(m)
			}
			time.Sleep(300 * time.Millisecond) // they wait for the first member
			for _, m := range c.members[1:] {
				c.stopMember(m)
			}
			if !wipe {
				c.start(c.members[0])
				c.stopMember(c.members[0])
			} else {
				c.members[0].values = new(valueLedger) // it was started before
			}
			for _, m := range c.members {
				c.start(m)
			}
			if got := c.store("a"); got != "a" {
				t.Errorf("stored %q", got)
			}
		})
	}
}

// TestLostDisksFormNoLog guards against a second log: members that lost their disks, and one that was never part of the
// first log, must not form another one.
func TestLostDisksFormNoLog(t *testing.T) {
	c := newCluster(t, 0)
	c.hosted = true
	c.addMembers(3)
	c.start(c.members[0])
	time.Sleep(300 * time.Millisecond)
	c.stopMember(c.members[0])
	for _, m := range c.members[1:] {
		m.values = new(valueLedger) // it was started before, and its disk is empty
	}
	for _, m := range c.members {
		c.start(m)
	}
	time.Sleep(2 * time.Second)
	for _, m := range c.members {
		if st := m.node.Status(); st.Role == raft.Leader || len(st.Members) > 0 {
			t.Errorf("%s is %s with the members %v", m.name, st.Role, st.Members)
		}
		ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
		if _, err := m.node.ProposeData(ctx, []byte("x")); err == nil {
			t.Errorf("%s stored a value", m.name)
		}
		stop()
	}
}
