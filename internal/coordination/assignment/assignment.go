// Package assignment distributes singleton tasks over the members of a fleet: many small tasks that one member at a time should
// do, such as the health checks of a server for its zone, or the watch of an endpoint list for a machine. It is pure: it does no
// I/O and reads no clock, and its functions are safe for concurrent use. An assignment grants nothing. The owner of a task is the
// holder of its lease (package lease), and the assignment says which member should acquire which lease and which should release
// it. Members that see the same fleet compute the same assignment.
//
// Invariants: a task is left unassigned only if no member may have it; no member has more tasks than its bound, unless all
// members together cannot keep to their bounds; of the tasks whose owner may keep them, at most MaxMoves are moved by one call;
// equal input results in equal output, whatever its order.
package assignment

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	defaultMaxImbalance = 0.25
	// movesDivisor is the divisor of the number of tasks for the default of MaxMoves: one in a hundred.
	movesDivisor = 100
)

// Member is a process that tasks can be assigned to.
type Member struct {
	Name     string
	Zone     string
	Weight   float64 // the share of tasks in proportion to other members; 0: 1
	Draining bool    // it keeps and gets no tasks, because it shuts down, is full or is too slow
}

// Task is a task that one member at a time should do.
type Task struct {
	Name string
	Zone string // only members of this zone may have the task; "": any member
}

// Limits bound an assignment.
type Limits struct {
	MaxImbalance float64 // the fraction of its fair share by which a member may exceed it; 0: a quarter
	MaxMoves     int     // maximum number of tasks moved by one call that their owner could keep; 0: one in a hundred, at least one
}

// Move is the move of a task from one member to another.
type Move struct{ Task, From, To string }

// Assign returns the member that should have each task, by the task's name, and the moves from the present owners that this
// takes. present is the current owner of each task, by the task's name. A task that no member may have is left out of next.
func Assign(tasks []Task, members []Member, present map[string]string, l Limits) (next map[string]string, moves []Move) {
	if l.MaxImbalance <= 0 {
		l.MaxImbalance = defaultMaxImbalance
	}
	if l.MaxMoves <= 0 {
		l.MaxMoves = max(1, len(tasks)/movesDivisor)
	}
	a := newAssignment(tasks, members, l)
	a.retain(present)
	a.assignUnowned()
	a.moveToPreferred(l.MaxMoves)
	next = map[string]string{}
	for _, t := range a.tasks {
		if t.owner == nil {
			continue
		}
		next[t.Name] = t.owner.Name
		if from, ok := present[t.Name]; ok && from != t.owner.Name {
			moves = append(moves, Move{t.Name, from, t.owner.Name})
		}
	}
	return next, moves
}

// assignment is the state of one call of Assign.
type assignment struct {
	tasks []*task
	pools map[string]*pool // by the zone of the tasks
}

// pool consists of the members that may have the tasks of one zone, or the tasks without a zone. Bounds and assigned tasks are
// counted per pool.
type pool struct {
	members []*member
	tasks   int // number of tasks
}

type member struct {
	Member
	hash     uint64
	bound    map[*pool]int // how many tasks the member may have
	assigned map[*pool]int // how many tasks the member has
}

type task struct {
	Task
	hash      uint64
	pool      *pool
	owner     *member // nil: not assigned
	preferred *member // the member that would have the task if there were no bounds
}

func newAssignment(tasks []Task, members []Member, l Limits) *assignment {
	a := &assignment{pools: map[string]*pool{}}
	eligible := eligibleMembers(members)
	for _, t := range tasks {
		p := a.pools[t.Zone]
		if p == nil {
			p = &pool{}
			for _, m := range eligible {
				if t.Zone == "" || m.Zone == t.Zone {
					p.members = append(p.members, m)
				}
			}
			a.pools[t.Zone] = p
		}
		p.tasks++
		a.tasks = append(a.tasks, &task{Task: t, hash: hash(t.Name), pool: p})
	}
	slices.SortFunc(a.tasks, func(x, y *task) int { return cmp.Compare(x.Name, y.Name) })
	for _, p := range a.pools {
		p.setBounds(l.MaxImbalance)
	}
	return a
}

// eligibleMembers returns the members that may have tasks, sorted by name.
func eligibleMembers(members []Member) []*member {
	eligible := []*member{}
	for _, m := range members {
		if m.Draining {
			continue
		}
		if !(m.Weight > 0) || math.IsInf(m.Weight, 1) {
			m.Weight = 1
		}
		eligible = append(eligible, &member{Member: m, hash: hash(m.Name), bound: map[*pool]int{}, assigned: map[*pool]int{}})
	}
	slices.SortFunc(eligible, func(x, y *member) int { return cmp.Compare(x.Name, y.Name) })
	return eligible
}

// setBounds sets how many tasks of the pool each member may have: its fair share by weight, increased by the fraction
// maxImbalance.
func (p *pool) setBounds(maxImbalance float64) {
	weight := 0.0
	for _, m := range p.members {
		weight += m.Weight
	}
	for _, m := range p.members {
		m.bound[p] = int(math.Ceil((1 + maxImbalance) * float64(p.tasks) * m.Weight / weight))
	}
}

// retain assigns tasks to their present owners, as far as these may have them. A member above its bound loses the tasks that
// prefer it least.
func (a *assignment) retain(present map[string]string) {
	byName := map[string]*member{}
	for _, p := range a.pools {
		for _, m := range p.members {
			byName[m.Name] = m
		}
	}
	tasksOf := map[*member][]*task{}
	for _, t := range a.tasks {
		if m := byName[present[t.Name]]; m != nil && slices.Contains(t.pool.members, m) {
			tasksOf[m] = append(tasksOf[m], t)
		}
	}
	for m, tasks := range tasksOf {
		slices.SortStableFunc(tasks, func(x, y *task) int { return cmp.Compare(y.preference(m), x.preference(m)) })
		for _, t := range tasks {
			if m.belowBound(t.pool) {
				t.assign(m)
			}
		}
	}
}

// assignUnowned assigns each task without an owner to the member that it prefers most among those below their bound. It also sets
// the preferred member of every task.
func (a *assignment) assignUnowned() {
	for _, t := range a.tasks {
		best, bestPreference, highest := (*member)(nil), math.Inf(-1), math.Inf(-1)
		for _, m := range t.pool.members {
			preference := t.preference(m)
			if preference > highest {
				t.preferred, highest = m, preference
			}
			if t.owner == nil && m.belowBound(t.pool) && preference > bestPreference {
				best, bestPreference = m, preference
			}
		}
		if best != nil {
			t.assign(best)
		}
	}
}

// moveToPreferred moves tasks to their preferred members, up to the given number of moves, starting with the tasks of the fullest
// members.
func (a *assignment) moveToPreferred(moves int) {
	displaced := slices.DeleteFunc(slices.Clone(a.tasks), func(t *task) bool { return t.owner == nil || t.owner == t.preferred })
	slices.SortStableFunc(displaced, func(x, y *task) int { return cmp.Compare(y.fullness(y.owner), x.fullness(x.owner)) })
	for _, t := range displaced {
		if moves == 0 {
			return
		}
		if t.preferred.belowBound(t.pool) {
			t.owner.assigned[t.pool]--
			t.assign(t.preferred)
			moves--
		}
	}
}

// belowBound reports whether a member may have one more task of a pool.
func (m *member) belowBound(p *pool) bool { return m.assigned[p] < m.bound[p] }

// fullness returns the number of tasks that a member has in the task's pool, as a fraction of its bound.
func (t *task) fullness(m *member) float64 {
	return float64(m.assigned[t.pool]) / float64(m.bound[t.pool])
}

// assign makes a member the owner of the task.
func (t *task) assign(m *member) {
	t.owner = m
	m.assigned[t.pool]++
}

// preference returns how much a task prefers a member, by weighted rendezvous hashing: the value does not depend on other
// members.
func (t *task) preference(m *member) float64 {
	x := t.hash ^ m.hash // mixed as in splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -m.Weight / math.Log(u)
}

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
