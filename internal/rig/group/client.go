package group

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

type simClient struct {
	s       *sim
	i       int
	rate    float64
	holder  *lease.SessionState
	nonce   int
	seq     uint64
	pending *lease.Command // asked until it is answered
	asked   lease.Instant
	leader  int
	token   lease.Token
	stopped bool
	taker   *share.Consumer
	begun   int64
}

func (c *simClient) clock() lease.Instant { return lease.Instant(float64(c.s.now) * c.rate) }

// step is what a client does now and then: it asks again what has no answer, else it renews, acquires or releases.
func (c *simClient) step() {
	c.s.after(c.s.between(20*time.Millisecond, 120*time.Millisecond), func() {
		if !c.stopped {
			c.act()
			c.ask()
		}
		c.step()
	})
}

// act is work under the lease: what a guarded resource is sent may come late.
func (c *simClient) act() {
	if c.holder == nil {
		return
	}
	token, _, ok := c.holder.Held("x", c.clock())
	if !ok {
		return
	}
	for _, other := range c.s.clients {
		if other == c || other.holder == nil {
			continue
		}
		if t, _, ok := other.holder.Held("x", other.clock()); ok {
			c.s.Wrong = fmt.Sprintf("at %v clients %d and %d hold, with %d and %d", c.s.now, c.i, other.i, token, t)
		}
	}
	c.s.Acts = append(c.s.Acts, Act{c.i, token, c.s.now})
	c.s.after(c.s.between(0, 3*time.Second), func() { // it gets there some time
		if token < c.s.guard && !c.s.o.NoGuard {
			c.s.Refused++
			return
		}
		c.s.Admitted = append(c.s.Admitted, token)
		if token > c.s.guard {
			c.s.Changes++
		}
		c.s.guard = max(c.s.guard, token)
	})
}

func (c *simClient) ask() {
	if c.s.rand.IntN(3) == 0 {
		c.leader = c.s.rand.IntN(len(c.s.replicas))
	}
	switch {
	case c.holder == nil || c.holder.Expiry() <= c.clock() && c.pending == nil:
		if c.holder != nil {
			c.holder, c.token = nil, 0
		}
		if c.pending == nil || c.pending.Kind != lease.Open {
			c.nonce++
			c.pending = &lease.Command{Kind: lease.Open, Nonce: fmt.Sprint("client", c.i, "-", c.nonce), Owner: "same", TTL: simTTL}
			c.seq, c.asked, c.begun = 0, c.clock(), int64(c.s.now)
		}
	case c.pending == nil:
		c.renew()
		_, _, held := c.holder.Held("x", c.clock())
		if c.token != 0 && !held {
			c.token = 0
		}
		if held && c.s.rand.IntN(4) == 0 {
			token := c.token
			c.holder.Forget("x")
			c.begin(&lease.Command{Kind: lease.Release, Name: "x", Token: token})
			c.token = 0
		} else if !held {
			c.begin(&lease.Command{Kind: lease.Acquire, Name: "x", Wait: c.i%2 == 0})
		} else {
			return
		}
	default:
		c.renew()
	}
	cmd, holder := *c.pending, c.holder
	c.to(func(r *simReplica, reply func(func())) {
		r.core.Submit(replica.Request{Command: &cmd, Done: func(a replica.Response) { reply(func() { c.answered(cmd, holder, a) }) }})
	})
}

func (c *simClient) begin(cmd *lease.Command) {
	c.seq++
	cmd.Session, cmd.Seq = c.holder.Session, c.seq
	c.pending, c.begun = cmd, int64(c.s.now)
	if cmd.Kind == lease.Acquire {
		c.holder.BeginWait("x", c.clock())
	}
}

// renew asks whether the session lives.
func (c *simClient) renew() {
	if c.holder == nil {
		return
	}
	asked, holder, known := c.clock(), c.holder, c.holder.KnownVersion()
	c.to(func(r *simReplica, reply func(func())) {
		r.core.Submit(replica.Request{KeepAlive: &replica.KeepAlive{Session: holder.Session, KnownVersion: known}, Done: func(a replica.Response) {
			reply(func() {
				if c.holder != holder || a.Err != nil {
					return
				}
				if !a.SessionAlive {
					holder.Invalidate()
					c.pending = nil
					return
				}
				for _, g := range holder.ApplyKeepAlive(asked, a.Grants, a.GrantsVersion) {
					if c.pending == nil || c.pending.Kind != lease.Acquire {
						c.s.Wrong = fmt.Sprintf("at %v client %d has a grant that it does not wait for", c.s.now, c.i)
						return
					}
					c.granted(*c.pending, g.Token)
					c.pending = nil
				}
			})
		}})
	})
}

// to asks the replica that is taken for the leader.
func (c *simClient) to(ask func(r *simReplica, reply func(func()))) {
	me, r := len(c.s.replicas)+c.i, c.s.replicas[c.leader]
	c.s.carry(me, r.i, func() {
		r.run(func() {
			ask(r, func(heard func()) {
				c.s.carry(r.i, me, func() {
					if !c.stopped {
						heard()
					}
				})
			})
		})
	})
}

func (c *simClient) answered(cmd lease.Command, holder *lease.SessionState, a replica.Response) {
	if a.Err != nil {
		if a.Leader > 0 {
			c.leader = int(a.Leader) - 1
		}
		return
	}
	if c.pending == nil || c.holder != holder || cmd != *c.pending { // an answer to what was asked before
		return
	}
	switch {
	case cmd.Kind == lease.Open && a.Answer.Status == lease.OK:
		c.holder = lease.NewSessionState(c.asked, a.Answer.Session, simTTL)
	case a.Answer.Status == lease.NoSession:
		holder.Invalidate()
	case cmd.Kind == lease.Acquire && a.Answer.Status == lease.Waiting:
		return // it goes on asking; the grant comes with a renewal
	case cmd.Kind == lease.Acquire && a.Answer.Status == lease.OK:
		c.granted(cmd, a.Answer.Token)
	case cmd.Kind == lease.Release:
		c.record(cmd, a.Answer)
	}
	c.pending = nil
}

func (c *simClient) granted(cmd lease.Command, token lease.Token) {
	c.holder.ApplyGrant(c.clock(), "x", token) // once more where a renewal brought it
	c.token = token
	c.s.Grants++
	c.record(cmd, lease.Answer{Status: lease.OK, Token: token})
}

// record adds to the history that porcupine judges: tokens in the order of a register that only grows.
func (c *simClient) record(cmd lease.Command, a lease.Answer) {
	c.s.History = append(c.s.History, porcupine.Operation{ClientId: c.i, Input: cmd, Call: c.begun, Output: a, Return: int64(c.s.now)})
}
