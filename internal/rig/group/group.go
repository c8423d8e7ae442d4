// Package group simulates a group of coordinator replicas and its clients in virtual time, from one seed: replicas crash and lose
// what was not synced; links are partitioned in either direction, lose, delay, duplicate and reorder messages; processes pause and
// resume; clocks run at different rates; clients contend for one lease. Simulate checks that no two clients believe at the same
// time that they hold the lease, that the history is that of one lease (porcupine, Model), and with Options.Shares that clients
// together never use more than the limit.
//
// A run is one goroutine over a heap of events. It depends on its Options alone: the order of random draws and of scheduled events
// is part of what a seed means, and a change of it changes all recorded schedules.
package group

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// Options say what is simulated. NoSync, NoFencing and ClockRateOutOfBounds each remove a safeguard or break an assumption, to
// show that the checks can fail.
type Options struct {
	Seed     uint64
	Replicas int
	Length   time.Duration // of true time
	Faults   []int         // in this order, each a number that encodes kind, target and duration; nil: drawn

	NoSync, NoFencing, ClockRateOutOfBounds bool

	Shares bool // clients request allocations of ShareLimit as well
}

// Outcome is the result of a simulation.
type Outcome struct {
	Violation      string // the first check that failed; "": none
	Events         int    // that were scheduled
	Faults         int
	Grants         int
	FencedOff      int           // writes that the resource rejected for their token
	HolderChanges  int           // writes with a larger token than all before, at the resource
	Uses           []Use         // in order of time
	AdmittedTokens []lease.Token // of the writes that the resource admitted, as they arrived
	MaxUnitsInUse  int           // largest sum of units that clients believed in at one time, of ShareLimit
	History        []porcupine.Operation
}

const (
	simTick = 20 * time.Millisecond
	simTTL  = 900 * time.Millisecond
)

// event is a function that runs at a virtual time; sequence orders events of the same time.
type event struct {
	time     time.Duration
	sequence int
	run      func()
}

// events is a heap (container/heap) by time, then sequence.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// sim is the state of one simulation.
type sim struct {
	Outcome
	options      Options
	rand         *rand.Rand
	now          time.Duration // true time
	scheduled    int
	events       events
	replicas     []*simReplica
	clients      []*simClient
	partitioned  map[[2]int]bool // from, to; clients come after the replicas
	highestToken lease.Token
}

// Use is a moment at which a client believed that it holds the lease.
type Use struct {
	Client int
	Token  lease.Token
	Time   time.Duration // of true time
}

// after schedules an event.
func (s *sim) after(delay time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now + delay, s.scheduled, do})
}

// uniform draws a duration from low up to, not including, high.
func (s *sim) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// deliver runs do at the receiver of a message, after a delay. A message may be lost, duplicated or delayed long; one that arrives
// while its direction is partitioned is dropped.
func (s *sim) deliver(from, to int, do func()) {
	if s.rand.IntN(50) == 0 {
		return
	}
	copies := 1
	if s.rand.IntN(40) == 0 {
		copies = 2
	}
	for range copies {
		delay := s.uniform(time.Millisecond, 12*time.Millisecond)
		if s.rand.IntN(25) == 0 {
			delay += s.uniform(0, 700*time.Millisecond)
		}
		s.after(delay, func() {
			if !s.partitioned[[2]int{from, to}] {
				do()
			}
		})
	}
}

// send delivers a raft message of a replica to another.
func (s *sim) send(from int, message *pb.Message) {
	to := int(message.GetTo()) - 1
	message = proto.Clone(message).(*pb.Message)
	if message.GetType() == pb.MessageType_MsgSnap {
		s.replicas[from].core.ReportSnapshot(message.GetTo(), true)
	}
	s.deliver(from, to, func() {
		r := s.replicas[to]
		copied := proto.Clone(message).(*pb.Message)
		r.run(func() { r.core.Step(copied) })
	})
}

// Simulate runs a group for Options.Length of true time, or until a check fails.
func Simulate(o Options) *Outcome {
	s := &sim{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), partitioned: map[[2]int]bool{}}
	var members []replica.Member
	for i := range o.Replicas {
		members = append(members, replica.Member{ID: uint64(i + 1)})
	}
	first := replica.InitialState(members, lease.NewState())
	for i := range o.Replicas {
		s.replicas = append(s.replicas, &simReplica{sim: s, index: i, clockRate: []float64{1, 1.0099}[s.rand.IntN(2)], disk: *first})
	}
	for _, r := range s.replicas {
		r.start()
	}
	for i := range 4 {
		c := &simClient{sim: s, index: i, clockRate: []float64{1, 1.0099}[s.rand.IntN(2)]}
		if o.ClockRateOutOfBounds {
			c.clockRate = 0.6
		}
		s.clients = append(s.clients, c)
		c.scheduleSteps()
		if o.Shares {
			c.consumer = share.NewConsumer(ShareLimit, fmt.Sprint(i), 1)
			c.scheduleShareRequests()
		}
	}
	s.scheduleFaults(o.Faults)
	for s.now < o.Length && s.Violation == "" && len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.time
		e.run()
	}
	slices.SortStableFunc(s.History, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
	if s.Violation == "" && porcupine.CheckOperationsTimeout(Model, s.History, 10*time.Second) == porcupine.Illegal {
		s.Violation = "the history is not that of one lease"
	}
	s.Events = s.scheduled
	return &s.Outcome
}
