package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
)

const (
	// maxWaiting bounds the requests that are pending at one time.
	maxWaiting = 20_000
	// confirmTicks is how long a leader waits for a majority to confirm that it still leads.
	confirmTicks = 2 * ElectionTicks
)

// Request is a request of a client to the leader. Exactly one of its fields besides Done is set, and says what is requested.
//
// Command, Rollout, Limit and Publish are appended to the log, and answered when they are applied. AddMember and RemoveMember change the
// membership. KeepAlive, Share and Read are answered by the leader from its own state, after a majority has confirmed that it leads.
type Request struct {
	Command      *lease.Command
	Rollout      *rollout.Command
	Limit        *share.Command
	Share        *ShareRequest
	Publish      *distribute.Command
	KeepAlive    *KeepAlive
	Read         bool
	AddMember    *Member // as a learner; it becomes a voter once it has caught up
	RemoveMember uint64
	// Done is called exactly once, from a method of Core, by the goroutine that owns it.
	Done func(Response)
}

// appends reports whether a request is a command for the log.
func (r *Request) appends() bool {
	return r.Command != nil || r.Rollout != nil || r.Limit != nil || r.Publish != nil
}

// KeepAlive renews a session, if it still exists.
type KeepAlive struct {
	Session      lease.SessionID `json:"Session"`
	KnownVersion uint64          `json:"Known"` // the version of the session's grants that the client knows
}

// ShareRequest asks for an allocation of a limit.
type ShareRequest struct {
	Limit   string                  `json:"limit"`
	Request share.AllocationRequest `json:"ask"`
}

// ErrNoLimit says that no limit has the name.
var ErrNoLimit = errors.New("there is no such limit")

// Response is the answer to a Request. State, Rollouts, LimitStatuses and Versions belong to the core and are valid until Done returns.
type Response struct {
	Err           error
	Leader        uint64 // with ErrNotLeader: the leader's id, 0 if it is not known
	Answer        lease.Answer
	SessionAlive  bool // KeepAlive: the session is renewed
	Grants        []lease.Grant
	GrantsVersion uint64
	Rollout       rollout.Response
	State         *lease.State
	Rollouts      *rollout.Register
	LimitErr      error // why a limit was not set, or nothing of it is allocated
	Share         share.Allocation
	LimitStatuses func() []share.LimitStatus
	Published     distribute.Answer
	Versions      *distribute.Register
	Members       []Member
}

// pendingRequests are the requests that are not answered yet.
type pendingRequests struct {
	lastNumber uint64                    // of proposals and of read confirmations
	proposals  map[uint64]func(Response) // by number, until the entry is applied
	reads      []Request                 // for the next confirmation
	confirming *readConfirmation         // nil: none is under way
}

// readConfirmation is a batch of reads that waits for a majority to confirm that this replica leads, and then for the entries that were
// committed at that time to be applied.
type readConfirmation struct {
	number uint64
	index  uint64 // above 0: confirmed, and to be applied up to there
	ticks  int    // since it began
	reads  []Request
}

func (p *pendingRequests) nextNumber() uint64 {
	p.lastNumber++
	return p.lastNumber
}

// Submit processes a request. A replica that does not lead answers at once, as does one with too many pending requests (ErrBusy).
func (c *Core) Submit(r Request) {
	if !c.leadership.isLeader {
		err := ErrNotLeader
		if c.leadership.leader == 0 {
			err = ErrNoLeader
		}
		r.Done(Response{Err: err, Leader: c.leadership.leader})
		return
	}
	if len(c.pending.proposals)+len(c.pending.reads) > maxWaiting {
		r.Done(Response{Err: ErrBusy})
		return
	}
	switch {
	case r.appends():
		c.submitCommand(r)
	case r.AddMember != nil || r.RemoveMember != 0:
		c.submitMembershipChange(r)
	default:
		c.pending.reads = append(c.pending.reads, r)
	}
}

func (c *Core) submitCommand(r Request) {
	number := c.pending.nextNumber()
	err := c.propose(entry{From: c.ID, Number: number, Lease: r.Command, Rollout: r.Rollout, Limit: r.Limit, Publish: r.Publish})
	if err != nil {
		r.Done(Response{Err: ErrBusy})
		return
	}
	c.pending.proposals[number] = r.Done
}

func (c *Core) submitMembershipChange(r Request) {
	m, kind := Member{ID: r.RemoveMember}, pb.ConfChangeRemoveNode
	if r.AddMember != nil {
		m, kind = *r.AddMember, pb.ConfChangeAddLearnerNode
		m.Learner = true
	}
	if _, member := c.membership.members[m.ID]; c.leadership.ready() && member == (r.AddMember != nil) { // it is done already
		r.Done(Response{Members: c.Members()})
		return
	}
	number, err := c.proposeMembershipChange(m, kind)
	if err != nil {
		r.Done(Response{Err: err})
		return
	}
	c.pending.proposals[number] = r.Done
}

// confirmReads begins the confirmation of the reads that have come, unless one is under way: one confirmation serves them all.
func (c *Core) confirmReads() {
	if c.pending.confirming != nil || len(c.pending.reads) == 0 || !c.leadership.ready() {
		return
	}
	c.pending.confirming = &readConfirmation{number: c.pending.nextNumber(), reads: c.pending.reads}
	c.pending.reads = nil
	c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))
}

// confirmRead records that a majority has confirmed the leadership for the confirmation of that number.
func (p *pendingRequests) confirmRead(number string, index uint64) {
	if p.confirming != nil && number == fmt.Sprint(p.confirming.number) {
		p.confirming.index = index
	}
}

// expireRead counts a tick, and gives up a confirmation that takes too long.
func (p *pendingRequests) expireRead(leader uint64) {
	if p.confirming == nil || p.confirming.index != 0 {
		return
	}
	if p.confirming.ticks++; p.confirming.ticks > confirmTicks {
		fail(p.confirming.reads, ErrNoLeader, leader)
		p.confirming = nil
	}
}

// failAll answers all pending requests with an error: reads first, then proposals by number.
func (p *pendingRequests) failAll(err error, leader uint64) {
	reads := p.reads
	if p.reads = nil; p.confirming != nil {
		reads = append(reads, p.confirming.reads...)
		p.confirming = nil
	}
	fail(reads, err, leader)
	for _, number := range slices.Sorted(maps.Keys(p.proposals)) {
		done := p.proposals[number]
		delete(p.proposals, number)
		done(Response{Err: err})
	}
}

func fail(requests []Request, err error, leader uint64) {
	for _, r := range requests {
		r.Done(Response{Err: err, Leader: leader})
	}
}

// answerReads answers the reads of a confirmation, once everything is applied that was committed when it was confirmed.
func (c *Core) answerReads(now lease.Instant) {
	confirmed := c.pending.confirming
	if confirmed == nil || confirmed.index == 0 || c.applied < confirmed.index || !c.leadership.ready() {
		return
	}
	c.pending.confirming = nil
	for _, r := range confirmed.reads {
		r.Done(c.read(r, now))
	}
}

// read returns the response to a read whose leadership is confirmed.
func (c *Core) read(r Request, now lease.Instant) Response {
	var out Response
	switch {
	case r.Share != nil:
		var known bool
		if out.Share, known = c.leadership.allocators.Allocate(r.Share.Limit, r.Share.Request, now); !known {
			out.LimitErr = ErrNoLimit
		}
	case r.KeepAlive != nil:
		session := r.KeepAlive.Session
		if out.SessionAlive = c.leadership.lessor.Renewable(session); out.SessionAlive {
			c.leadership.lessor.Renew(session, now)
			out.Grants, out.GrantsVersion = c.state.leases.Grants(session, r.KeepAlive.KnownVersion)
		}
	default:
		out.State, out.Rollouts, out.Versions, out.Members = c.state.leases, c.state.rollouts, c.state.versions, c.Members()
		out.LimitStatuses = func() []share.LimitStatus { return c.leadership.allocators.Statuses(now) }
	}
	return out
}
