package replica

import (
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
)

// Request is what a replica is asked; one of its fields says what.
type Request struct {
	Command      *lease.Command
	Rollout      *rollout.Command
	Limit        *share.Command
	Share        *ShareRequest
	Publish      *distribute.Command
	KeepAlive    *KeepAlive
	Read         bool    // the state as of now
	AddMember    *Member // as a learner; it votes once it has caught up
	RemoveMember uint64
	Done         func(Response) // called once, from a call of Core
}

// KeepAlive asks whether a session lives, with the version of its grants that the client knows.
type KeepAlive struct {
	Session      lease.SessionID `json:"Session"`
	KnownVersion uint64          `json:"Known"`
}

// ShareRequest asks for a part of a limit.
type ShareRequest struct {
	Limit   string                  `json:"limit"`
	Request share.AllocationRequest `json:"ask"`
}

// ErrNoLimit: there is no limit of that name.
var ErrNoLimit = errors.New("there is no such limit")

// Response is the answer. State is the core's own and good until Done returns.
type Response struct {
	Err           error
	Leader        uint64 // with ErrNotLeader, if it is known
	Answer        lease.Answer
	SessionAlive  bool
	Grants        []lease.Grant
	GrantsVersion uint64
	Rollout       rollout.Response
	State         *lease.State
	Rollouts      *rollout.Register // as State
	LimitErr      error             // why a limit was not set, or no part of it is given
	Share         share.Allocation
	LimitStatuses func() []share.LimitStatus // as State
	Published     distribute.Answer
	Versions      *distribute.Register // as State
	Members       []Member
}

// confirmation is questions that wait for a majority to confirm that this replica leads.
type confirmation struct {
	number uint64
	index  uint64 // above 0: confirmed, and to be applied up to there
	age    int
	asks   []Request
}

// Submit takes in a question.
func (c *Core) Submit(q Request) {
	if !c.leads {
		err := ErrNotLeader
		if c.leader == 0 {
			err = ErrNoLeader
		}
		q.Done(Response{Err: err, Leader: c.leader})
		return
	}
	if len(c.waiting)+len(c.asked) > maxWaiting {
		q.Done(Response{Err: ErrBusy})
		return
	}
	switch {
	case q.Command != nil || q.Rollout != nil || q.Limit != nil || q.Publish != nil:
		c.number++
		if err := c.propose(entry{From: c.ID, Number: c.number, Lease: q.Command, Rollout: q.Rollout, Limit: q.Limit, Publish: q.Publish}); err != nil {
			q.Done(Response{Err: ErrBusy})
			return
		}
		c.waiting[c.number] = q.Done
	case q.AddMember != nil || q.RemoveMember != 0:
		m, kind := Member{ID: q.RemoveMember}, pb.ConfChangeRemoveNode
		if q.AddMember != nil {
			m, kind = *q.AddMember, pb.ConfChangeAddLearnerNode
			m.Learner = true
		}
		if _, member := c.members[m.ID]; c.clock != nil && member == (q.AddMember != nil) { // asked again
			q.Done(Response{Members: c.Members()})
			return
		}
		number, err := c.change(m, kind)
		if err != nil {
			q.Done(Response{Err: err})
			return
		}
		c.waiting[number] = q.Done
	default:
		c.asked = append(c.asked, q)
	}
}

// lose answers all that waits: another replica leads, or this one begins anew.
func (c *Core) lose() {
	all := c.asked
	if c.asked = nil; c.confirm != nil {
		all = append(all, c.confirm.asks...)
		c.confirm = nil
	}
	c.fail(all, ErrLeaderChanged)
	for _, n := range slices.Sorted(maps.Keys(c.waiting)) {
		done := c.waiting[n]
		delete(c.waiting, n)
		done(Response{Err: ErrLeaderChanged})
	}
}

func (c *Core) fail(asks []Request, err error) {
	for _, q := range asks {
		q.Done(Response{Err: err, Leader: c.leader})
	}
}

// confirmed answers what a majority has confirmed, once all is applied that was committed when it was asked.
func (c *Core) confirmed(now lease.Instant) {
	if c.confirm == nil || c.confirm.index == 0 || c.applied < c.confirm.index || c.clock == nil {
		return
	}
	asks := c.confirm.asks
	c.confirm = nil
	for _, q := range asks {
		var r Response
		switch {
		case q.Share != nil:
			told, ok := c.shares.Allocate(q.Share.Limit, q.Share.Request, now)
			if r.Share = told; !ok {
				r.LimitErr = ErrNoLimit
			}
		case q.KeepAlive != nil:
			if r.SessionAlive = c.clock.Renewable(q.KeepAlive.Session); r.SessionAlive {
				c.clock.Renew(q.KeepAlive.Session, now)
				r.Grants, r.GrantsVersion = c.state.Grants(q.KeepAlive.Session, q.KeepAlive.KnownVersion)
			}
		default:
			r.State, r.Rollouts, r.Versions, r.Members = c.state, c.changes, c.versions, c.Members()
			r.LimitStatuses = func() []share.LimitStatus { return c.shares.Statuses(now) }
		}
		q.Done(r)
	}
}
