package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Member is a replica of the group.
type Member struct {
	ID          uint64 `json:"id"`
	Addr        string `json:"addr"`
	Incarnation string `json:"life,omitempty"` // of its disk, drawn when the disk was created; "": not known yet
	Learner     bool   `json:"learner,omitempty"`
}

var (
	// ErrLostDisk is returned for a replica whose disk is not the one that holds the votes and entries that the group relies on.
	ErrLostDisk = errors.New("the replica has lost its disk, and may not come back under its id: remove it, and add it with an id that was never used")
	// ErrRemoved is returned for a replica that is not a member of the group.
	ErrRemoved = errors.New("the replica is not a member of this group: it was removed, or is not added yet")
)

const (
	// removalGraceTicks is how many ticks a removed replica continues, so that the client that requested the removal gets the
	// response.
	removalGraceTicks = 2 * ElectionTicks
	// catchUpDistance is how many entries a learner may be behind the commit index when it becomes a voter.
	catchUpDistance = 100
)

// membership holds the members of the group as of the applied log, and the state of membership changes.
type membership struct {
	members           map[uint64]Member
	confState         *pb.ConfState
	changePending     bool // a change is proposed and not yet applied
	snapshotDue       bool // a change was applied: a snapshot taken before it lacks a replica that was added
	ticksSinceRemoval int  // 0: this replica was not removed
}

// setIncarnation records the incarnation of a member's disk, unless one is recorded.
func (ms *membership) setIncarnation(member Member) {
	if m, ok := ms.members[member.ID]; ok && m.Incarnation == "" {
		m.Incarnation = member.Incarnation
		ms.members[m.ID] = m
	}
}

// promoteLearner proposes to promote a learner that has caught up to a voter: the one with the lowest id, if there are several.
func (c *Core) promoteLearner() {
	for _, id := range slices.Sorted(maps.Keys(c.membership.members)) {
		if m := c.membership.members[id]; m.Learner && c.caughtUp(id) {
			_, _ = c.proposeMembershipChange(m, pb.ConfChangeAddNode) // after an error the next tick proposes it again
			return
		}
	}
}

// caughtUp reports whether a learner's log is at most catchUpDistance entries behind the commit index.
func (c *Core) caughtUp(id uint64) bool {
	status := c.node.Status()
	progress, ok := status.Progress[id]
	return ok && progress.Match > 0 && progress.Match+catchUpDistance >= status.GetCommit()
}

// proposeMembershipChange proposes a change of one member and returns the number of the proposal. Only one change may be pending.
func (c *Core) proposeMembershipChange(member Member, changeType pb.ConfChangeType) (number uint64, err error) {
	if c.membership.changePending || !c.leadership.ready() {
		return 0, ErrMembershipChangePending
	}
	number = c.pending.nextNumber()
	data, err := json.Marshal(entry{Proposer: c.ID, ProposalNumber: number, Member: &member})
	if err != nil {
		return 0, fmt.Errorf("change of member %d: %w", member.ID, err)
	}
	err = c.node.ProposeConfChange(&pb.ConfChange{Type: changeType.Enum(), NodeId: proto.Uint64(member.ID), Context: data})
	c.membership.changePending = err == nil
	return number, err
}

// applyMembershipChange applies a committed change; m is nil where the entry has no member.
func (c *Core) applyMembershipChange(change *pb.ConfChange, m *Member) {
	switch {
	case change.GetType() == pb.ConfChangeRemoveNode:
		delete(c.membership.members, change.GetNodeId())
		if change.GetNodeId() == c.ID {
			c.membership.ticksSinceRemoval = 1
		}
	case m != nil:
		m.Learner = change.GetType() == pb.ConfChangeAddLearnerNode
		m.Incarnation = c.membership.members[m.ID].Incarnation
		c.membership.members[m.ID] = *m
	}
}

// RecordIncarnation proposes to record the incarnation of a member's disk, as the member itself reports it, in the log. It does
// nothing if one is recorded or this replica does not lead. From then on another disk under the same id is refused.
func (c *Core) RecordIncarnation(id uint64, incarnation string) {
	if m, ok := c.membership.members[id]; ok && m.Incarnation == "" && c.leadership.isLeader && c.leadership.ready() {
		m.Incarnation = incarnation
		_ = c.propose(entry{Member: &m}) // after an error the member's next message proposes it again
	}
}

// IncarnationOf returns the recorded incarnation of a member's disk; "" if none is recorded.
func (c *Core) IncarnationOf(id uint64) string { return c.membership.members[id].Incarnation }

// RemovedErr returns an error that wraps ErrRemoved once this replica was removed from the group and has to stop, else nil.
func (c *Core) RemovedErr() error {
	if c.membership.ticksSinceRemoval > removalGraceTicks {
		return fmt.Errorf("replica %d: %w", c.ID, ErrRemoved)
	}
	return nil
}

// CheckReceiver returns an error that wraps ErrLostDisk if a peer addresses its messages to a disk of another incarnation: the
// votes and entries that the peer relies on are not on this disk, and this replica has to stop. incarnation is "" if the peer
// does not know it.
func (c *Core) CheckReceiver(incarnation string) error {
	if incarnation != "" && incarnation != c.Incarnation {
		return fmt.Errorf("replica %d: %w", c.ID, ErrLostDisk)
	}
	return nil
}

// CheckSender returns why messages from a peer whose disk has that incarnation must not be passed to Step: an error that wraps
// ErrLostDisk if the log has another incarnation recorded, or ErrRemoved if the peer is not a member. A leader records an
// incarnation that is not known yet.
func (c *Core) CheckSender(id uint64, incarnation string) error {
	peer, isMember := c.membership.members[id]
	switch {
	case isMember && peer.Incarnation != "" && peer.Incarnation != incarnation:
		return fmt.Errorf("replica %d: %w", id, ErrLostDisk)
	case !isMember && c.leadership.isLeader && c.leadership.ready():
		return fmt.Errorf("replica %d: %w", id, ErrRemoved)
	}
	c.RecordIncarnation(id, incarnation)
	return nil
}

// Members returns the replicas of the group in the order of their ids.
func (c *Core) Members() (all []Member) {
	for _, id := range slices.Sorted(maps.Keys(c.membership.members)) {
		all = append(all, c.membership.members[id])
	}
	return all
}
