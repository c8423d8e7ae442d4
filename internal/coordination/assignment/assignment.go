// Package assignment assigns singleton roles to the members of a fleet: many small tasks that one member at a time should do, such as the health
// checks of a server for its zone, or the watch of an endpoint list for a machine. It is pure: no I/O, no clock, and its functions are
// safe for concurrent use. An assignment grants nothing: the owner of a task is whoever holds its lease (package lease), and the
// assignment says which member should acquire which lease, and which should release it. Members that see the same fleet compute the same.
//
// Invariants: a task is left out only where no member may have it; no member has more than its bound, unless all together cannot keep it;
// of the tasks whose owner may keep them no more than MaxMoves are moved at one time; equal input makes equal output, in whatever order it
// comes.
package assignment

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	defaultMaxImbalance = 0.25
	// movesDivisor makes the default of MaxMoves: one in a hundred tasks.
	movesDivisor = 100
)

// Member is a process that does tasks.
type Member struct {
	Name     string
	Zone     string
	Weight   float64 // 0: 1
	Draining bool    // it keeps nothing and gets nothing: it shuts down, is full, or is too slow
}

// Task is one task.
type Task struct {
	Name string
	Zone string // whose members alone may have it; "": any member
}

// Limits bound an assignment.
type Limits struct {
	MaxImbalance float64 // by what fraction of its fair share a member may have more; 0: a quarter
	MaxMoves     int     // tasks that are moved at one time, of those that their owner could keep; 0: one in a hundred, at least one
}

// Move is a task that goes from one member to another.
type Move struct{ Task, From, To string }

// Assign returns the member that should have each task, by the task's name, given which member has it at present. A task that no member
// may have is left out.
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

// assignment is an assignment that is being made.
type assignment struct {
	tasks []*task
	pools map[string]*pool // by the zone of tasks
}

// pool is the members that may have the tasks of one zone, or of none. What each may have is counted within it.
type pool struct {
	members []*member
	tasks   int
}

type member struct {
	Member
	hash     uint64
	bound    map[*pool]int // how many tasks it may have
	assigned map[*pool]int // how many it has
}

type task struct {
	Task
	hash      uint64
	pool      *pool
	owner     *member // nil: it is not assigned
	preferred *member // which would have it if there were no bounds
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

// eligibleMembers returns the members that may have tasks, by name.
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

// setBounds sets how many tasks of a pool each member may have: its fair share by weight, and a fraction more.
func (p *pool) setBounds(maxImbalance float64) {
	weight := 0.0
	for _, m := range p.members {
		weight += m.Weight
	}
	for _, m := range p.members {
		m.bound[p] = int(math.Ceil((1 + maxImbalance) * float64(p.tasks) * m.Weight / weight))
	}
}

// retain leaves tasks where they are, as far as their owners may have them. Beyond its bound a member loses the tasks that prefer it least.
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

// assignUnowned assigns each task without an owner to the member that it prefers most of those below their bound, and finds the preferred member
// of all tasks.
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

// moveToPreferred moves a few tasks to their preferred members: first those of the members that are fullest.
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

// fullness is the fraction of its bound that a member has, of tasks of the same pool.
func (t *task) fullness(m *member) float64 {
	return float64(m.assigned[t.pool]) / float64(m.bound[t.pool])
}

func (t *task) assign(m *member) {
	t.owner = m
	m.assigned[t.pool]++
}

// preference is how much a task prefers a member: weighted rendezvous hashing, which other members do not change.
func (t *task) preference(m *member) float64 {
	x := t.hash ^ m.hash // mixed as splitmix64 does
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
