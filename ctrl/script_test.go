package ctrl_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against changes that are lost when a control member is
// killed, isolated or loses its disk, and against an isolated leader that
// answers as if it were current.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				c = newCluster(t, number(t, d, "members"))
				return ""
			}
			return c.run(t, d)
		})
	})
}

// run executes one command of a script.
func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	c.t = t
	switch d.Cmd {
	case "change":
		return c.change(text(t, d, "id"), uint64(number(t, d, "base")))
	case "propose":
		return c.propose(c.who(text(t, d, "at")), text(t, d, "id"), uint64(number(t, d, "base")))
	case "confirm":
		return c.confirm(c.who(text(t, d, "at")))
	case "stop":
		c.out = c.who(text(t, d, "at"))
		c.halt(c.out)
	case "wipe":
		c.wipe(c.out)
	case "start":
		c.start(c.out, nil)
		c.out = nil
	case "isolate":
		c.out = c.who(text(t, d, "at"))
		c.net.Isolate(c.out.name)
	case "rejoin":
		c.net.Rejoin(c.out.name)
		c.out = nil
	case "await":
		c.awaitVersion(uint64(number(t, d, "version")))
	case "replaced":
		return c.replacedNewest()
	case "resend":
		return c.resend()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// replacedNewest checks the member that started last with a new identity.
func (c *cluster) replacedNewest() string {
	for _, m := range c.members {
		if m.replaced {
			m.replaced = false
			return c.awaitReplaced(m)
		}
	}
	return "no member lost its disk"
}

// resend submits every accepted change again and expects its first result.
func (c *cluster) resend() string {
	for id, v := range c.accepted {
		want := fmt.Sprintf("accepted as version %d", v)
		if got := c.change(id, v-1); got != want {
			return fmt.Sprintf("%s: %s, want %s", id, got, want)
		}
	}
	return fmt.Sprintf("%d changes have their first result", len(c.accepted))
}

func text(t *testing.T, d *datadriven.TestData, name string) string {
	t.Helper()
	var s string
	d.ScanArgs(t, name, &s)
	return s
}

func number(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	n, err := strconv.Atoi(text(t, d, name))
	if err != nil {
		t.Fatal(err)
	}
	return n
}
