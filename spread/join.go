package spread

import (
	"maps"
	"slices"
	"time"

	"tamarackcross/state"
)

// join is the start procedure: ask several peers, take the highest state.
type join struct {
	asked   map[string]bool
	answers map[string]state.Stamp
	until   time.Time
	rounds  int
}

// drop forgets the answer of a peer that did not deliver its state.
func (j *join) drop(peer string, now time.Time) {
	delete(j.answers, peer)
	delete(j.asked, peer)
	j.until = now
}

// best returns the peer with the highest stamp; of equals the first by name.
func (j *join) best() (peer string, at state.Stamp) {
	for _, name := range slices.Sorted(maps.Keys(j.answers)) {
		if peer == "" || at.Less(j.answers[name]) {
			peer, at = name, j.answers[name]
		}
	}
	return peer, at
}

// tickJoin asks at first, and decides when the time for answers is over.
func (c *Core) tickJoin(now time.Time) {
	j := c.join
	if now.Before(j.until) || c.pull != nil {
		return
	}
	if j.asked != nil && c.decide(now) {
		return
	}
	c.ask(now)
}

// ask starts a round of questions. Answers of earlier rounds stay valid: a peer
// only moves forward.
func (c *Core) ask(now time.Time) {
	j := c.join
	j.asked = make(map[string]bool)
	if j.answers == nil {
		j.answers = make(map[string]state.Stamp)
	}
	j.until = now.Add(AskWait)
	j.rounds++
	for _, peer := range c.choose(AskPeers, "", now) {
		j.asked[peer] = true
		c.send(peer, c.summary(Ask))
	}
}

func (c *Core) onAnswer(m Summary, now time.Time) {
	j := c.join
	if m.Purpose == Ask || j.asked == nil {
		return
	}
	j.answers[m.From] = m.Stamp
	delete(j.asked, m.From)
	if len(j.asked) == 0 && c.pull == nil {
		c.decide(now)
	}
}

// decide pulls from the peer with the highest state, or ends the procedure. It
// returns false when more answers are needed.
func (c *Core) decide(now time.Time) bool {
	peer, at := c.join.best()
	if c.stamp().Less(at) {
		c.startPull(peer, now)
		return true
	}
	if c.stamp().IsZero() {
		return false
	}
	alone := len(c.peers.local)+len(c.peers.remote) == 0
	if peer == "" && !alone && c.join.rounds < LoneRounds {
		return false
	}
	c.joined()
	return true
}

// checkJoined ends the procedure once the view has reached the highest answer
// and no question is open.
func (c *Core) checkJoined(now time.Time) {
	if c.join == nil || c.stamp().IsZero() {
		return
	}
	if len(c.join.asked) == 0 && len(c.join.answers) > 0 && c.pull == nil {
		c.decide(now)
	}
}

func (c *Core) joined() {
	c.join = nil
	c.out = append(c.out, Ready{Stamp: c.stamp()})
}
