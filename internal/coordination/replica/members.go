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
	Incarnation string `json:"life,omitempty"` // of its disk, drawn when the disk was made; "": not known yet
	Learner     bool   `json:"learner,omitempty"`
}

var (
	// ErrLostDisk says that a replica's disk is not the one whose votes and entries the group counts on.
	ErrLostDisk = errors.New("the replica has lost its disk, and may not come back under its id: remove it, and add it with an id that was never used")
	// ErrRemoved says that a replica is not a member of the group.
	ErrRemoved = errors.New("the replica is not a member of this group: it was removed, or is not added yet")
)

const (
	// removalGraceTicks is how long a removed replica continues, so that the client that asked for the removal gets the response.
	removalGraceTicks = 2 * ElectionTicks
	// catchUpDistance is how many entries a learner may be behind the commit index when it becomes a voter.
	catchUpDistance = 100
)

// membership is what the log says of the group, and this replica's part in its changes.
type membership struct {
	members           map[uint64]Member
	conf              *pb.ConfState
	changePending     bool // a change is proposed and not yet applied
	snapshotDue       bool // a change was applied: a snapshot from before it is of no use to a replica that was added
	ticksSinceRemoval int  // above 0: this replica was removed
}

// setIncarnation records the disk of a member whose disk was not known.
func (ms *membership) setIncarnation(known Member) {
	if m, ok := ms.members[known.ID]; ok && m.Incarnation == "" {
		m.Incarnation = known.Incarnation
		ms.members[m.ID] = m
	}
}

// promoteLearner proposes that the first learner that has caught up becomes a voter.
func (c *Core) promoteLearner() {
	for _, id := range slices.Sorted(maps.Keys(c.membership.members)) {
		if m := c.membership.members[id]; m.Learner && c.caughtUp(id) {
			_, _ = c.proposeMembershipChange(m, pb.ConfChangeAddNode) // what is not proposed now is proposed at the next tick
			return
		}
	}
}

// caughtUp reports whether a learner has nearly all of the log.
func (c *Core) caughtUp(id uint64) bool {
	s := c.node.Status()
	p, ok := s.Progress[id]
	return ok && p.Match > 0 && p.Match+catchUpDistance >= s.GetCommit()
}

// proposeMembershipChange proposes a change of one member. There is one change at a time.
func (c *Core) proposeMembershipChange(m Member, kind pb.ConfChangeType) (number uint64, err error) {
	if c.membership.changePending || !c.leadership.ready() {
		return 0, ErrMembershipChangePending
	}
	number = c.pending.nextNumber()
	data, err := json.Marshal(entry{From: c.ID, Number: number, Member: &m})
	if err != nil {
		return 0, fmt.Errorf("change of member %d: %w", m.ID, err)
	}
	err = c.node.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(m.ID), Context: data})
	c.membership.changePending = err == nil
	return number, err
}

// applyMembershipChange applies a committed change; m is nil where the entry says nothing of the member.
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

// RecordIncarnation has the disk of a member, as the member itself names it, recorded in the log, unless one is recorded. From then on
// another disk under the same id is refused.
func (c *Core) RecordIncarnation(id uint64, incarnation string) {
	if m, ok := c.membership.members[id]; ok && m.Incarnation == "" && c.leadership.isLeader && c.leadership.ready() {
		m.Incarnation = incarnation
		_ = c.propose(entry{Member: &m}) // what is not proposed now is proposed at the member's next message
	}
}

// IncarnationOf returns the recorded incarnation of a member's disk; "": it is not known.
func (c *Core) IncarnationOf(id uint64) string { return c.membership.members[id].Incarnation }

// RemovedErr returns ErrRemoved once this replica was removed from the group and has to end; nil: it continues.
func (c *Core) RemovedErr() error {
	if c.membership.ticksSinceRemoval > removalGraceTicks {
		return fmt.Errorf("replica %d: %w", c.ID, ErrRemoved)
	}
	return nil
}

// CheckReceiver returns ErrLostDisk where a peer sends messages for a disk of another incarnation: the votes and entries that the peer
// counts on are not on this disk, and this replica has to end. "" is a sender that does not know the incarnation.
func (c *Core) CheckReceiver(incarnation string) error {
	if incarnation != "" && incarnation != c.Incarnation {
		return fmt.Errorf("replica %d: %w", c.ID, ErrLostDisk)
	}
	return nil
}

// CheckSender returns why messages of a peer whose disk has that incarnation must not reach Step: ErrLostDisk where the log has another
// incarnation recorded, ErrRemoved where the group has removed the peer. A leader records an incarnation that is not known yet.
func (c *Core) CheckSender(id uint64, incarnation string) error {
	m, member := c.membership.members[id]
	switch {
	case member && m.Incarnation != "" && m.Incarnation != incarnation:
		return fmt.Errorf("replica %d: %w", id, ErrLostDisk)
	case !member && c.leadership.isLeader && c.leadership.ready():
		return fmt.Errorf("replica %d: %w", id, ErrRemoved)
	}
	c.RecordIncarnation(id, incarnation)
	return nil
}

// Members returns the replicas of the group by id.
func (c *Core) Members() (all []Member) {
	for _, id := range slices.Sorted(maps.Keys(c.membership.members)) {
		all = append(all, c.membership.members[id])
	}
	return all
}
