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
	// maxPendingRequests bounds the requests that are pending at the same time.
	maxPendingRequests = 20_000
	// readConfirmationTicks is how many ticks a leader waits for a majority to confirm that it still leads.
	readConfirmationTicks = 2 * ElectionTicks
)

// Request is a request from a client to the leader. Exactly one of its fields besides Done is set.
//
// Command, Rollout, Limit and Publish are appended to the log and answered when they are applied. AddMember and RemoveMember
// change the membership. KeepAlive, Share and Read are reads: the leader answers them from its own state after a majority has
// confirmed that it leads.
type Request struct {
	Command      *lease.Command
	Rollout      *rollout.Command
	Limit        *share.Command
	Share        *ShareRequest
	Publish      *distribute.Command
	KeepAlive    *KeepAlive
	Read         bool
	AddMember    *Member // added as a learner, which becomes a voter once it has caught up
	RemoveMember uint64
	// Done is called exactly once, from a method of Core, on the goroutine that owns the Core.
	Done func(Response)
}

// isCommand reports whether a request is a command that is appended to the log.
func (r *Request) isCommand() bool {
	return r.Command != nil || r.Rollout != nil || r.Limit != nil || r.Publish != nil
}

// KeepAlive requests the renewal of a session, which may no longer exist.
type KeepAlive struct {
	Session      lease.SessionID `json:"Session"`
	KnownVersion uint64          `json:"Known"` // the version of the session's grants that the client knows
}

// ShareRequest requests an allocation of units of a limit.
type ShareRequest struct {
	Limit   string                  `json:"limit"`
	Request share.AllocationRequest `json:"ask"`
}

// ErrNoLimit is returned for a ShareRequest whose limit does not exist.
var ErrNoLimit = errors.New("there is no such limit")

// Response is the answer to a Request. State, Rollouts, LimitStatuses and Versions refer to the state of the Core and must not be
// used after Done has returned.
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
	LimitErr      error // why a limit was not set, or why nothing of it was allocated
	Share         share.Allocation
	LimitStatuses func() []share.LimitStatus
	Published     distribute.Answer
	Versions      *distribute.Register
	Members       []Member
}

// pendingRequests holds the requests that are not answered yet.
type pendingRequests struct {
	lastNumber uint64                    // the last number given to a proposal or a read confirmation
	proposals  map[uint64]func(Response) // Done by number of the proposal, until its entry is applied
	reads      []Request                 // reads for the next confirmation
	confirming *readConfirmation         // the confirmation in progress; nil: none
}

// readConfirmation is a batch of reads that waits for a majority to confirm that this replica leads, and then until the entries
// up to the commit index of that confirmation are applied.
type readConfirmation struct {
	number uint64
	index  uint64 // the commit index of the confirmation; 0: not confirmed yet
	ticks  int    // since the confirmation began
	reads  []Request
}

func (p *pendingRequests) nextNumber() uint64 {
	p.lastNumber++
	return p.lastNumber
}

// Submit starts to process a request. A replica that does not lead answers at once with ErrNotLeader or ErrNoLeader, and a leader
// with too many pending requests with ErrBusy.
func (c *Core) Submit(r Request) {
	if !c.leadership.isLeader {
		err := ErrNotLeader
		if c.leadership.leader == 0 {
			err = ErrNoLeader
		}
		r.Done(Response{Err: err, Leader: c.leadership.leader})
		return
	}
	if len(c.pending.proposals)+len(c.pending.reads) > maxPendingRequests {
		r.Done(Response{Err: ErrBusy})
		return
	}
	switch {
	case r.isCommand():
		c.submitCommand(r)
	case r.AddMember != nil || r.RemoveMember != 0:
		c.submitMembershipChange(r)
	default:
		c.pending.reads = append(c.pending.reads, r)
	}
}

func (c *Core) submitCommand(r Request) {
	number := c.pending.nextNumber()
	err := c.propose(entry{Proposer: c.ID, ProposalNumber: number, Lease: r.Command, Rollout: r.Rollout, Limit: r.Limit, Publish: r.Publish})
	if err != nil {
		r.Done(Response{Err: ErrBusy})
		return
	}
	c.pending.proposals[number] = r.Done
}

func (c *Core) submitMembershipChange(r Request) {
	member, changeType := Member{ID: r.RemoveMember}, pb.ConfChangeRemoveNode
	if r.AddMember != nil {
		member, changeType = *r.AddMember, pb.ConfChangeAddLearnerNode
		member.Learner = true
	}
	if _, isMember := c.membership.members[member.ID]; c.leadership.ready() && isMember == (r.AddMember != nil) { // the change is applied already
		r.Done(Response{Members: c.Members()})
		return
	}
	number, err := c.proposeMembershipChange(member, changeType)
	if err != nil {
		r.Done(Response{Err: err})
		return
	}
	c.pending.proposals[number] = r.Done
}

// confirmReads starts one confirmation for all reads that have arrived, unless another confirmation is in progress.
func (c *Core) confirmReads() {
	if c.pending.confirming != nil || len(c.pending.reads) == 0 || !c.leadership.ready() {
		return
	}
	c.pending.confirming = &readConfirmation{number: c.pending.nextNumber(), reads: c.pending.reads}
	c.pending.reads = nil
	c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))
}

// confirmRead records that a majority has confirmed the leadership for the read confirmation with that number, at a commit index.
func (p *pendingRequests) confirmRead(number string, index uint64) {
	if p.confirming != nil && number == fmt.Sprint(p.confirming.number) {
		p.confirming.index = index
	}
}

// expireRead counts a tick, and fails the reads of a confirmation that has taken longer than readConfirmationTicks.
func (p *pendingRequests) expireRead(leader uint64) {
	if p.confirming == nil || p.confirming.index != 0 {
		return
	}
	if p.confirming.ticks++; p.confirming.ticks > readConfirmationTicks {
		failRequests(p.confirming.reads, ErrNoLeader, leader)
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
	failRequests(reads, err, leader)
	for _, number := range slices.Sorted(maps.Keys(p.proposals)) {
		done := p.proposals[number]
		delete(p.proposals, number)
		done(Response{Err: err})
	}
}

func failRequests(requests []Request, err error, leader uint64) {
	for _, r := range requests {
		r.Done(Response{Err: err, Leader: leader})
	}
}

// answerReads answers the reads of a confirmation once the entries up to its commit index are applied.
func (c *Core) answerReads(now lease.Instant) {
	confirmation := c.pending.confirming
	if confirmation == nil || confirmation.index == 0 || c.applied < confirmation.index || !c.leadership.ready() {
		return
	}
	c.pending.confirming = nil
	for _, r := range confirmation.reads {
		r.Done(c.read(r, now))
	}
}

// read returns the response to a read. It is called once a majority has confirmed this replica's leadership.
func (c *Core) read(request Request, now lease.Instant) Response {
	var response Response
	switch {
	case request.Share != nil:
		var exists bool
		if response.Share, exists = c.leadership.allocators.Allocate(request.Share.Limit, request.Share.Request, now); !exists {
			response.LimitErr = ErrNoLimit
		}
	case request.KeepAlive != nil:
		session := request.KeepAlive.Session
		if response.SessionAlive = c.leadership.lessor.Renewable(session); response.SessionAlive {
			c.leadership.lessor.Renew(session, now)
			response.Grants, response.GrantsVersion = c.state.leases.Grants(session, request.KeepAlive.KnownVersion)
		}
	default:
		response.State, response.Rollouts, response.Versions, response.Members = c.state.leases, c.state.rollouts, c.state.versions, c.Members()
		response.LimitStatuses = func() []share.LimitStatus { return c.leadership.allocators.Statuses(now) }
	}
	return response
}
