// Package group is a whole group of replicas in virtual time, from one seed: replicas that crash and lose what was not synced, links
// that are cut in either direction, lose, delay, double and reorder, processes that stop and go on, clocks of different rates, and
// clients that contend for a lease. Simulate plays it and judges it: nobody believes beside another, and the history is that of one
// lease (porcupine).
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

// Options are what is played. The last three are left out of the world, to show that the judge can fail.
type Options struct {
	Seed     uint64
	Replicas int
	Length   time.Duration
	Faults   []int // in this order; nil: they are drawn

	NoSync, NoGuard, PastTheBound bool

	Shares bool // clients take parts of a limit as well
}

// Outcome is what came of it.
type Outcome struct {
	Wrong                                    string // "": nothing
	Events, Faults, Grants, Refused, Changes int    // Refused: acts that the guard refused; Changes: of holder, as it saw them
	Acts                                     []Act
	Admitted                                 []lease.Token // acts, as they came
	Largest                                  int           // units of the limit that clients believed in at once, of ShareLimit
	History                                  []porcupine.Operation
}

const (
	simTick = 20 * time.Millisecond
	simTTL  = 900 * time.Millisecond
)

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

type sim struct {
	Outcome
	o        Options
	rand     *rand.Rand
	now      time.Duration // true time
	n        int
	events   events
	replicas []*simReplica
	clients  []*simClient
	cut      map[[2]int]bool // from, to; clients come after the replicas
	guard    lease.Token
}

// Act is a moment at which a client believed that it holds the lease.
type Act struct {
	Client int
	Token  lease.Token
	At     time.Duration // of true time
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, event{s.now + d, s.n, do})
}

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rand.Int64N(int64(b-a)))
}

// carry carries something from one to another: it may be lost, late, and twice.
func (s *sim) carry(from, to int, do func()) {
	if s.rand.IntN(50) == 0 {
		return
	}
	copies := 1
	if s.rand.IntN(40) == 0 {
		copies = 2
	}
	for range copies {
		d := s.between(time.Millisecond, 12*time.Millisecond)
		if s.rand.IntN(25) == 0 {
			d += s.between(0, 700*time.Millisecond)
		}
		s.after(d, func() {
			if !s.cut[[2]int{from, to}] {
				do()
			}
		})
	}
}

func (s *sim) send(from int, m *pb.Message) {
	to := int(m.GetTo()) - 1
	m = proto.Clone(m).(*pb.Message)
	if m.GetType() == pb.MessageType_MsgSnap {
		s.replicas[from].core.ReportSnapshot(m.GetTo(), true)
	}
	s.carry(from, to, func() {
		r := s.replicas[to]
		copied := proto.Clone(m).(*pb.Message)
		r.run(func() { r.core.Step(copied) })
	})
}

// Simulate plays a group for some true time and judges what was.
func Simulate(o Options) *Outcome {
	s := &sim{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), cut: map[[2]int]bool{}}
	var members []replica.Member
	for i := range o.Replicas {
		members = append(members, replica.Member{ID: uint64(i + 1)})
	}
	first := replica.InitialState(members, lease.NewState())
	for i := range o.Replicas {
		s.replicas = append(s.replicas, &simReplica{s: s, i: i, rate: []float64{1, 1.0099}[s.rand.IntN(2)], disk: *first})
	}
	for _, r := range s.replicas {
		r.start()
	}
	for i := range 4 {
		c := &simClient{s: s, i: i, rate: []float64{1, 1.0099}[s.rand.IntN(2)]}
		if o.PastTheBound {
			c.rate = 0.6
		}
		s.clients = append(s.clients, c)
		c.step()
		if o.Shares {
			c.taker = share.NewConsumer(ShareLimit, fmt.Sprint(i), 1)
			c.take()
		}
	}
	s.trouble(o.Faults)
	for s.now < o.Length && s.Wrong == "" && len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	slices.SortStableFunc(s.History, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
	if s.Wrong == "" && porcupine.CheckOperationsTimeout(Model, s.History, 10*time.Second) == porcupine.Illegal {
		s.Wrong = "the history is not that of one lease"
	}
	s.Events = s.n
	return &s.Outcome
}
