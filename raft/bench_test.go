package raft_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackcross/raft"
)

const (
	proposalBytes = 128
	compactEvery  = 4096    // proposals between two compactions
	firstID       = 1 << 63 // real IDs are random and therefore mostly large, which affects the encoded size
)

// cluster runs members without network delays. It counts messages and, outside of
// the measured time, their encoded bytes.
type cluster struct {
	nodes    map[raft.ID]*raft.Node
	ids      []raft.ID
	now      time.Time
	queue    []raft.Message
	messages int
	bytes    int
	applied  raft.Index
}

func newCluster(b *testing.B, members int) *cluster {
	c := &cluster{nodes: map[raft.ID]*raft.Node{}, now: epoch}
	var ms raft.Members
	for i := range members {
		c.ids = append(c.ids, raft.ID(uint64(firstID)+uint64(i)))
		ms = append(ms, raft.Member{ID: raft.ID(uint64(firstID) + uint64(i))})
	}
	for _, id := range c.ids {
		n, err := raft.New(raft.PersistentState{HardState: raft.HardState{ID: id}, Snapshot: raft.Bootstrap(ms...)}, c.now)
		if err != nil {
			b.Fatal(err)
		}
		c.nodes[id] = n
	}
	c.now = c.nodes[firstID].NextTick(c.now)
	c.collectOutput(c.nodes[firstID].Tick(c.now))
	c.deliverAll()
	if c.nodes[firstID].Status(c.now).Role != raft.Leader {
		b.Fatal("no leader")
	}
	c.messages, c.bytes = 0, 0
	return c
}

func (c *cluster) collectOutput(out raft.Output) {
	c.queue = append(c.queue, out.Messages...)
	if k := len(out.Committed); k > 0 {
		c.applied = max(c.applied, out.Committed[k-1].Index)
	}
}

func (c *cluster) deliverAll() {
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		c.messages++
		c.collectOutput(c.nodes[m.Head().To].Step(m, c.now))
	}
}

// encodedBytes calls f, delivers all messages that follow and returns their
// encoded size.
func (c *cluster) encodedBytes(f func()) int {
	f()
	bytes := 0
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		bytes += proto.Size(raft.ToProto(m))
		c.collectOutput(c.nodes[m.Head().To].Step(m, c.now))
	}
	return bytes
}

func (c *cluster) propose(b *testing.B, data []byte) {
	_, out, err := c.nodes[firstID].Propose(data, c.now)
	if err != nil {
		b.Fatal(err)
	}
	c.collectOutput(out)
}

func (c *cluster) compact() {
	for _, id := range c.ids {
		at := min(c.applied, c.nodes[id].Status(c.now).Commit)
		_, _ = c.nodes[id].Compact(at, nil, c.now)
	}
}

// BenchmarkPropose measures a proposal of 128 bytes until the leader has committed
// it, with all members running in one goroutine.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newCluster(b, members)
			data := make([]byte, proposalBytes)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.propose(b, data)
				c.deliverAll()
				if i%compactEvery == 0 {
					c.compact()
				}
			}
			b.ReportMetric(float64(c.messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(c.encodedBytes(func() { c.propose(b, data) })), "wire-B/op")
		})
	}
}

// BenchmarkIdleTick measures a heartbeat interval without proposals, including all
// replies.
func BenchmarkIdleTick(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newCluster(b, members)
			tick := func() {
				c.now = c.now.Add(raft.DefaultHeartbeatInterval)
				for _, id := range c.ids {
					c.collectOutput(c.nodes[id].Tick(c.now))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				tick()
				c.deliverAll()
			}
			perSecond := float64(time.Second) / float64(raft.DefaultHeartbeatInterval)
			b.ReportMetric(float64(c.messages)/float64(b.N)*perSecond, "messages/s")
			b.ReportMetric(float64(c.encodedBytes(tick))*perSecond, "wire-B/s")
		})
	}
}
