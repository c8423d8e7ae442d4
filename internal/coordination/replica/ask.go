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

// Question is what a replica is asked; one of its fields says what.
type Question struct {
	Command *lease.Command
	Rollout *rollout.Command
	Limit   *share.Command
	Share   *ShareRequest
	Publish *distribute.Command
	Alive   *Alive
	Read    bool    // the state as of now
	Add     *Member // as a learner; it votes once it has caught up
	Remove  uint64
	Done    func(Reply) // called once, from a call of Core
}

// Alive asks whether a session lives, with the version of its grants that the client knows.
type Alive struct {
	Session lease.SessionID
	Known   uint64
}

// ShareRequest asks for a part of a limit.
type ShareRequest struct {
	Limit   string                  `json:"limit"`
	Request share.AllocationRequest `json:"ask"`
}

// ErrNoLimit: there is no limit of that name.
var ErrNoLimit = errors.New("there is no such limit")

// Reply is the answer. State is the core's own and good until Done returns.
type Reply struct {
	Err       error
	Leader    uint64 // with ErrNotLeader, if it is known
	Answer    lease.Answer
	Alive     bool
	Grants    []lease.Grant
	Version   uint64
	Rollout   rollout.Response
	State     *lease.State
	Changes   *rollout.Register // as State
	Refused   error             // why a limit was not set, or no part of it is given
	Share     share.Allocation
	Limits    func() []share.Standing // as State
	Published distribute.Answer
	Versions  *distribute.Register // as State
	Members   []Member
}

// confirmation is questions that wait for a majority to confirm that this replica leads.
type confirmation struct {
	number uint64
	index  uint64 // above 0: confirmed, and to be applied up to there
	age    int
	asks   []Question
}

// Ask takes in a question.
func (c *Core) Ask(q Question) {
	if !c.leads {
		err := ErrNotLeader
		if c.leader == 0 {
			err = ErrNoLeader
		}
		q.Done(Reply{Err: err, Leader: c.leader})
		return
	}
	if len(c.waiting)+len(c.asked) > maxWaiting {
		q.Done(Reply{Err: ErrBusy})
		return
	}
	switch {
	case q.Command != nil || q.Rollout != nil || q.Limit != nil || q.Publish != nil:
		c.number++
		if err := c.propose(entry{From: c.ID, Number: c.number, Lease: q.Command, Rollout: q.Rollout, Limit: q.Limit, Publish: q.Publish}); err != nil {
			q.Done(Reply{Err: ErrBusy})
			return
		}
		c.waiting[c.number] = q.Done
	case q.Add != nil || q.Remove != 0:
		m, kind := Member{ID: q.Remove}, pb.ConfChangeRemoveNode
		if q.Add != nil {
			m, kind = *q.Add, pb.ConfChangeAddLearnerNode
			m.Learner = true
		}
		if _, member := c.members[m.ID]; c.clock != nil && member == (q.Add != nil) { // asked again
			q.Done(Reply{Members: c.Members()})
			return
		}
		number, err := c.change(m, kind)
		if err != nil {
			q.Done(Reply{Err: err})
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
	c.fail(all, ErrMoved)
	for _, n := range slices.Sorted(maps.Keys(c.waiting)) {
		done := c.waiting[n]
		delete(c.waiting, n)
		done(Reply{Err: ErrMoved})
	}
}

func (c *Core) fail(asks []Question, err error) {
	for _, q := range asks {
		q.Done(Reply{Err: err, Leader: c.leader})
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
		var r Reply
		switch {
		case q.Share != nil:
			told, ok := c.shares.Allocate(q.Share.Limit, q.Share.Request, now)
			if r.Share = told; !ok {
				r.Refused = ErrNoLimit
			}
		case q.Alive != nil:
			if r.Alive = c.clock.Alive(q.Alive.Session); r.Alive {
				c.clock.Heard(q.Alive.Session, now)
				r.Grants, r.Version = c.state.Grants(q.Alive.Session, q.Alive.Known)
			}
		default:
			r.State, r.Changes, r.Versions, r.Members = c.state, c.changes, c.versions, c.Members()
			r.Limits = func() []share.Standing { return c.shares.Standings(now) }
		}
		q.Done(r)
	}
}
