package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/share"
)

const (
	// ElectionTicks is the shortest election time-out, in ticks. A follower without a message from a leader campaigns after a random
	// number of ticks from ElectionTicks to 2*ElectionTicks-1, drawn again for each time-out.
	ElectionTicks  = 10
	heartbeatTicks = 1

	defaultSnapshotEvery  = 20_000
	defaultCatchUpEntries = 5_000

	// The limits on raft's messages and entries, in bytes, and on the number of messages in flight to one peer.
	maxMessageSize      = 1 << 20
	maxCommittedSize    = 4 << 20
	maxUncommittedSize  = 64 << 20
	maxInflightMessages = 64
)

// Options are the settings of a replica.
type Options struct {
	ID          uint64
	Incarnation string // of the replica's disk
	// Rand returns a random number from 0 to n-1.
	Rand           func(n int) int
	SnapshotEvery  uint64 // applied entries between two snapshots; 0: defaultSnapshotEvery
	CatchUpEntries uint64 // entries kept in the log before a snapshot, for followers that are a little behind; 0: defaultCatchUpEntries
}

// Core is one replica. Its methods are called from one goroutine.
type Core struct {
	Options
	node    *raft.RawNode
	storage *raft.MemoryStorage

	state           stateMachine
	changedServices ChangedServices
	membership      membership
	applied         uint64 // the index of the last applied entry
	snapshotIndex   uint64 // the index of the last snapshot

	leadership leadership
	election   electionTimer
	pending    pendingRequests
}

// leadership holds who leads, as far as this replica knows, and the state that a leader keeps for its own term only.
type leadership struct {
	term     uint64 // of the last hard state
	leader   uint64 // 0: none is known
	isLeader bool   // this replica leads; it may not have applied all entries of earlier terms yet
	// lessor is nil unless this replica leads and has applied an entry of its own term.
	lessor *lease.Lessor
	// allocators is nil exactly when lessor is nil.
	allocators *share.Allocators
}

// ready reports whether this replica leads and has applied all entries that were committed before its term.
func (l *leadership) ready() bool { return l.lessor != nil }

// stopServing drops the state that a leader keeps for its term.
func (l *leadership) stopServing() { l.lessor, l.allocators = nil, nil }

// electionTimer counts the ticks since the last message from a leader, up to a time-out, in ticks.
type electionTimer struct {
	ticks   int
	timeout int
}

// resetElectionTimer restarts the election timer with a newly drawn time-out.
func (c *Core) resetElectionTimer() {
	c.election = electionTimer{timeout: ElectionTicks + c.Rand(ElectionTicks)}
}

// PersistedState is the content of a replica's disk or, in a Ready, what the owner has to add to it.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil: none; a replica that will be added to a group starts with an empty disk
	Entries   []*pb.Entry
}

// InitialState returns the first content of the disk of every replica of a new group.
func InitialState(members []Member, state *lease.State) *PersistedState {
	conf := &pb.ConfState{}
	for _, m := range members {
		conf.Voters = append(conf.Voters, m.ID)
	}
	slices.Sort(conf.Voters)
	initial := newStateMachine()
	initial.leases = state
	return &PersistedState{
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: initial.encode(members),
			Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}},
	}
}

// New returns a replica that starts from the content of its disk. An error says which part of that content cannot be used.
func New(o Options, persisted *PersistedState) (*Core, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.CatchUpEntries == 0 {
		o.CatchUpEntries = defaultCatchUpEntries
	}
	c := &Core{Options: o, storage: raft.NewMemoryStorage(), state: newStateMachine(), membership: membership{members: map[uint64]Member{}},
		pending: pendingRequests{proposals: map[uint64]func(Response){}}}
	if err := c.load(persisted); err != nil {
		return nil, err
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: o.ID, ElectionTick: ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageSize, MaxCommittedSizePerReady: maxCommittedSize, MaxUncommittedEntriesSize: maxUncommittedSize,
		MaxInflightMsgs: maxInflightMessages,
		CheckQuorum:     true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return nil, fmt.Errorf("starting replica %d: %w", o.ID, err)
	}
	c.resetElectionTimer()
	return c, nil
}

// load fills raft's storage from the content of the disk, and restores the state from the snapshot.
func (c *Core) load(persisted *PersistedState) error {
	if persisted.Snapshot != nil {
		if err := c.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return fmt.Errorf("loading the snapshot: %w", err)
		}
		if err := c.restore(persisted.Snapshot); err != nil {
			return err
		}
	}
	if persisted.HardState != nil {
		hard := proto.Clone(persisted.HardState).(*pb.HardState)
		if hard.GetCommit() < c.applied { // a changed commit index alone is not synced, and a snapshot holds committed entries only
			hard.Commit = proto.Uint64(c.applied)
		}
		if err := c.storage.SetHardState(hard); err != nil {
			return fmt.Errorf("loading the hard state: %w", err)
		}
		c.leadership.term = hard.GetTerm()
	}
	if err := c.storage.Append(persisted.Entries); err != nil {
		return fmt.Errorf("loading the log: %w", err)
	}
	return nil
}

// Tick advances the time by one tick; now is the reading of the owner's monotonic clock. A leader proposes the lessor's expiry
// commands that are due; a follower campaigns at its election time-out.
func (c *Core) Tick(now lease.Instant) {
	if c.membership.ticksSinceRemoval > 0 {
		c.membership.ticksSinceRemoval++
	}
	if c.leadership.isLeader {
		c.node.Tick()
		c.proposeTimed(now)
	} else {
		c.node.TickQuiesced()
		if c.election.ticks++; c.election.ticks >= c.election.timeout {
			c.resetElectionTimer()
			_ = c.node.Campaign() // a replica that may not campaign, such as a learner, stays a follower and tries again at the next time-out
		}
	}
	c.pending.expireRead(c.leadership.leader)
}

// proposeTimed proposes the expiry commands that are due by the leader's clock, and the promotion of a learner that has caught
// up.
func (c *Core) proposeTimed(now lease.Instant) {
	if !c.leadership.ready() {
		return
	}
	for _, cmd := range c.leadership.lessor.ExpiryCommands(now) {
		if c.propose(entry{Lease: &cmd}) != nil {
			return // the lessor returns the command again at the next tick
		}
	}
	c.promoteLearner()
}

func (c *Core) propose(e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("proposal: %w", err)
	}
	return c.node.Propose(data)
}

// Step processes a message from a peer that CheckReceiver and CheckSender have admitted. A message that does not apply in the
// present state is dropped.
func (c *Core) Step(m *pb.Message) {
	switch m.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		if m.GetTerm() >= c.leadership.term {
			c.resetElectionTimer()
		}
	}
	_ = c.node.Step(m) // an error means that the message does not apply here; the peer's raft retransmits what is needed
}

// ReportUnreachable tells raft that a message to a peer was not delivered.
func (c *Core) ReportUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshot tells raft whether a snapshot was delivered to a peer. Raft sends the peer no entries before that.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// Ready holds what the owner has to do next, in this order: persist PersistedState (durably, if Sync is set), send Messages and
// call Core.Advance.
type Ready struct {
	PersistedState
	Sync     bool
	Messages []*pb.Message
	raft     raft.Ready
}

// Ready returns the next work for the owner; ok is false if there is none. The owner calls Advance with each Ready before it
// takes the next one.
func (c *Core) Ready() (ready Ready, ok bool) {
	c.confirmReads()
	if !c.node.HasReady() {
		return ready, false
	}
	rd := c.node.Ready()
	ready = Ready{raft: rd, Messages: rd.Messages, Sync: rd.MustSync}
	ready.HardState, ready.Entries = rd.HardState, rd.Entries
	if !raft.IsEmptySnap(rd.Snapshot) {
		ready.Snapshot, ready.Sync = rd.Snapshot, true
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		_ = c.storage.SetHardState(rd.HardState) // raft.MemoryStorage returns no error
		c.leadership.term = rd.GetTerm()
	}
	return ready, true
}

// Advance reports that the owner has finished with a Ready. It applies the committed entries and answers requests. If a snapshot
// is due it is returned: the owner has to persist it, and may then delete the entries up to and including the index compact. An
// error means that the log or a snapshot is not as raft or this package wrote it; the replica has to stop then.
func (c *Core) Advance(ready Ready, now lease.Instant) (snapshot *pb.Snapshot, compact uint64, err error) {
	rd := ready.raft
	if ready.Snapshot != nil {
		if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return nil, 0, fmt.Errorf("applying the leader's snapshot: %w", err)
		}
		if err := c.restore(ready.Snapshot); err != nil {
			return nil, 0, err
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return nil, 0, fmt.Errorf("appending to the log: %w", err)
	}
	if rd.SoftState != nil {
		c.applySoftState(rd.SoftState)
	}
	for _, e := range rd.CommittedEntries {
		if err := c.apply(e, now); err != nil {
			return nil, 0, fmt.Errorf("applying entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, r := range rd.ReadStates {
		c.pending.confirmRead(string(r.RequestCtx), r.Index)
	}
	c.node.Advance(rd)
	c.answerReads(now)
	if c.applied-c.snapshotIndex < c.SnapshotEvery && !c.membership.snapshotDue {
		return nil, 0, nil
	}
	return c.createSnapshot()
}

// applySoftState records who leads. A replica that gains or loses the leadership fails all its pending requests.
func (c *Core) applySoftState(softState *raft.SoftState) {
	isLeader := softState.RaftState == raft.StateLeader
	if softState.Lead != c.leadership.leader && softState.Lead != 0 {
		c.resetElectionTimer()
	}
	c.leadership.leader = softState.Lead
	if isLeader == c.leadership.isLeader {
		return
	}
	c.leadership.isLeader = isLeader
	c.leadership.stopServing()
	c.membership.changePending = false
	c.pending.failAll(ErrLeaderChanged, c.leadership.leader)
}

// createSnapshot returns a snapshot of the applied state. It compacts the log once that holds more than CatchUpEntries applied
// entries; compact is 0 otherwise.
func (c *Core) createSnapshot() (snapshot *pb.Snapshot, compact uint64, err error) {
	snapshot, err = c.storage.CreateSnapshot(c.applied, c.membership.confState, c.state.encode(c.Members()))
	if err != nil {
		return nil, 0, fmt.Errorf("creating the snapshot at index %d: %w", c.applied, err)
	}
	c.snapshotIndex, c.membership.snapshotDue = c.applied, false
	if first, _ := c.storage.FirstIndex(); c.applied > c.CatchUpEntries+first {
		compact = c.applied - c.CatchUpEntries
		if err = c.storage.Compact(compact); err != nil {
			err = fmt.Errorf("compacting the log up to index %d: %w", compact, err)
		}
	}
	return snapshot, compact, err
}

// IsLeader reports whether this replica is the raft leader. It may not have applied all entries of earlier terms yet.
func (c *Core) IsLeader() bool { return c.leadership.isLeader }

// Versions returns the register of the newest configuration versions that this replica has applied. The register belongs to the
// core: callers only read it, from the goroutine that owns the core.
func (c *Core) Versions() *distribute.Register { return c.state.versions }

// ChangedServices holds the services that have a newer configuration version.
type ChangedServices struct {
	All   bool // any service may have one, because a snapshot was restored
	Names []string
}

// TakeChangedServices returns the services that have got a newer version since the last call.
func (c *Core) TakeChangedServices() ChangedServices {
	changed := c.changedServices
	c.changedServices = ChangedServices{}
	return changed
}

// Status is the state of a replica as the replica knows it, without asking its peers.
type Status struct {
	ID       uint64      `json:"ID"`
	Leader   uint64      `json:"Leader"`  // 0: none is known
	Term     uint64      `json:"Term"`    // of the last hard state
	Applied  uint64      `json:"Applied"` // the index of the last applied entry
	Log      uint64      `json:"Log"`     // the number of entries in the log since the last compaction
	IsLeader bool        `json:"Leads"`   // this replica leads and has applied an entry of its own term
	Sessions int         `json:"Sessions"`
	Leases   int         `json:"Leases"`
	Token    lease.Token `json:"Token"` // the token of the last grant
	Members  []Member    `json:"Members"`
}

// Status returns the state of this replica.
func (c *Core) Status() Status {
	status := Status{ID: c.ID, Leader: c.leadership.leader, Term: c.leadership.term, Applied: c.applied,
		IsLeader: c.leadership.isLeader && c.leadership.ready(), Members: c.Members()}
	first, _ := c.storage.FirstIndex() // raft.MemoryStorage returns no error
	last, _ := c.storage.LastIndex()
	status.Log = last + 1 - first
	status.Sessions, status.Leases, status.Token = c.state.leases.Counts()
	return status
}
