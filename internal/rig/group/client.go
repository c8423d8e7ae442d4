package group

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// leaseName is the lease that all clients contend for.
const leaseName = "x"

// simClient is a client with one session: it contends for the lease, and uses it while it believes that it has it.
type simClient struct {
	sim           *sim
	index         int
	clockRate     float64
	session       *lease.SessionState
	nonce         int
	seq           uint64
	pending       *lease.Command // sent again until it is answered; nil: none
	pendingSince  lease.Instant  // when a pending Open was first sent, by its own clock
	pendingCall   int64          // when pending was first sent, in nanoseconds of true time
	assumedLeader int            // index of a replica
	token         lease.Token    // of the last grant; 0: none that still holds
	paused        bool
	consumer      *share.Consumer // nil without Options.Shares
}

// clock is its own clock, which runs at clockRate.
func (c *simClient) clock() lease.Instant { return lease.Instant(float64(c.sim.now) * c.clockRate) }

// scheduleSteps has the client use its lease and send a request after a random pause, again and again.
func (c *simClient) scheduleSteps() {
	c.sim.after(c.sim.uniform(20*time.Millisecond, 120*time.Millisecond), func() {
		if !c.paused {
			c.useLease()
			c.request()
		}
		c.scheduleSteps()
	})
}

// useLease writes to the protected resource while the client believes that it holds the lease. It checks that no other client
// believes the same. The write may arrive late; the resource rejects a token below the highest one that it has seen.
func (c *simClient) useLease() {
	if c.session == nil {
		return
	}
	token, _, ok := c.session.Held(leaseName, c.clock())
	if !ok {
		return
	}
	for _, other := range c.sim.clients {
		if other == c || other.session == nil {
			continue
		}
		if t, _, ok := other.session.Held(leaseName, other.clock()); ok {
			c.sim.Violation = fmt.Sprintf("at %v clients %d and %d both hold the lease, with tokens %d and %d",
				c.sim.now, c.index, other.index, token, t)
		}
	}
	c.sim.Uses = append(c.sim.Uses, Use{c.index, token, c.sim.now})
	c.sim.after(c.sim.uniform(0, 3*time.Second), func() { c.sim.applyWrite(token) })
}

// applyWrite has the protected resource admit or reject a write that arrives.
func (s *sim) applyWrite(token lease.Token) {
	if token < s.highestToken && !s.options.NoFencing {
		s.FencedOff++
		return
	}
	s.AdmittedTokens = append(s.AdmittedTokens, token)
	if token > s.highestToken {
		s.HolderChanges++
	}
	s.highestToken = max(s.highestToken, token)
}

// request sends the pending command again, or else a new one: a session is opened, or the lease acquired or released. While
// the session is alive it is renewed besides.
func (c *simClient) request() {
	if c.sim.rand.IntN(3) == 0 {
		c.assumedLeader = c.sim.rand.IntN(len(c.sim.replicas))
	}
	if c.session == nil || c.session.Expiry() <= c.clock() && c.pending == nil {
		c.openSession()
	} else {
		waiting := c.pending != nil
		c.keepAlive()
		if !waiting && !c.nextCommand() {
			return
		}
	}
	command, session := *c.pending, c.session
	c.callLeader(func(r *simReplica, reply func(func())) {
		r.core.Submit(replica.Request{Command: &command, Done: func(response replica.Response) {
			reply(func() { c.handleResponse(command, session, response) })
		}})
	})
}

// openSession makes the opening of a session the pending command, unless it is that already. A session that has expired is dropped.
func (c *simClient) openSession() {
	if c.session != nil {
		c.session, c.token = nil, 0
	}
	if c.pending == nil || c.pending.Kind != lease.Open {
		c.nonce++
		c.pending = &lease.Command{Kind: lease.Open, Nonce: fmt.Sprint("client", c.index, "-", c.nonce), Owner: "same", TTL: simTTL}
		c.seq, c.pendingSince, c.pendingCall = 0, c.clock(), int64(c.sim.now)
	}
}

// nextCommand makes an acquisition of the lease the pending command, or sometimes its release if the client holds it. It reports false
// if the client goes on holding the lease.
func (c *simClient) nextCommand() bool {
	_, _, held := c.session.Held(leaseName, c.clock())
	if c.token != 0 && !held {
		c.token = 0
	}
	if !held {
		c.submitNext(&lease.Command{Kind: lease.Acquire, Name: leaseName, Wait: c.index%2 == 0})
		return true
	}
	if c.sim.rand.IntN(4) != 0 {
		return false
	}
	token := c.token
	c.session.Forget(leaseName)
	c.submitNext(&lease.Command{Kind: lease.Release, Name: leaseName, Token: token})
	c.token = 0
	return true
}

// submitNext makes a command of the session the pending one.
func (c *simClient) submitNext(command *lease.Command) {
	c.seq++
	command.Session, command.Seq = c.session.Session, c.seq
	c.pending, c.pendingCall = command, int64(c.sim.now)
	if command.Kind == lease.Acquire {
		c.session.BeginWait(leaseName, c.clock())
	}
}

// keepAlive renews the session; the response may bring a grant that the client waits for.
func (c *simClient) keepAlive() {
	if c.session == nil {
		return
	}
	sentAt, session := c.clock(), c.session
	request := &replica.KeepAlive{Session: session.Session, KnownVersion: session.KnownVersion()}
	c.callLeader(func(r *simReplica, reply func(func())) {
		r.core.Submit(replica.Request{KeepAlive: request, Done: func(response replica.Response) {
			reply(func() { c.handleKeepAlive(session, sentAt, response) })
		}})
	})
}

// handleKeepAlive applies the response to a keep-alive of a session, which was sent at a time of the client's clock.
func (c *simClient) handleKeepAlive(session *lease.SessionState, sentAt lease.Instant, response replica.Response) {
	if c.session != session || response.Err != nil {
		return
	}
	if !response.SessionAlive {
		session.Invalidate()
		c.pending = nil
		return
	}
	for _, g := range session.ApplyKeepAlive(sentAt, response.Grants, response.GrantsVersion) {
		if c.pending == nil || c.pending.Kind != lease.Acquire {
			c.sim.Violation = fmt.Sprintf("at %v client %d got a grant that it does not wait for", c.sim.now, c.index)
			return
		}
		c.granted(*c.pending, g.Token)
		c.pending = nil
	}
}

// callLeader runs call at the replica that the client assumes to lead. What call passes to reply runs at the client when the
// response arrives, unless the client is paused then. Both messages may be lost, delayed or duplicated.
func (c *simClient) callLeader(call func(r *simReplica, reply func(func()))) {
	self, r := len(c.sim.replicas)+c.index, c.sim.replicas[c.assumedLeader]
	reply := func(receive func()) {
		c.sim.deliver(r.index, self, func() {
			if !c.paused {
				receive()
			}
		})
	}
	c.sim.deliver(self, r.index, func() {
		r.run(func() { call(r, reply) })
	})
}

// handleResponse applies the response to a command, unless that is no longer the pending one.
func (c *simClient) handleResponse(command lease.Command, session *lease.SessionState, response replica.Response) {
	if response.Err != nil {
		if response.Leader > 0 {
			c.assumedLeader = int(response.Leader) - 1
		}
		return
	}
	if c.pending == nil || c.session != session || command != *c.pending { // the response to an earlier command
		return
	}
	switch {
	case command.Kind == lease.Open && response.Answer.Status == lease.OK:
		c.session = lease.NewSessionState(c.pendingSince, response.Answer.Session, simTTL)
	case response.Answer.Status == lease.NoSession:
		session.Invalidate()
	case command.Kind == lease.Acquire && response.Answer.Status == lease.Waiting:
		return // it stays pending; the grant comes with a keep-alive
	case command.Kind == lease.Acquire && response.Answer.Status == lease.OK:
		c.granted(command, response.Answer.Token)
	case command.Kind == lease.Release:
		c.record(command, response.Answer)
	}
	c.pending = nil
}

// granted stores the grant of the lease and records it in the history.
func (c *simClient) granted(command lease.Command, token lease.Token) {
	c.session.ApplyGrant(c.clock(), leaseName, token) // a second time where a keep-alive brought it
	c.token = token
	c.sim.Grants++
	c.record(command, lease.Answer{Status: lease.OK, Token: token})
}

// record adds an operation to the history that porcupine checks against Model.
func (c *simClient) record(command lease.Command, answer lease.Answer) {
	c.sim.History = append(c.sim.History, porcupine.Operation{
		ClientId: c.index, Input: command, Call: c.pendingCall, Output: answer, Return: int64(c.sim.now)})
}
