// Package duty says who of a fleet does which of many small tasks: who probes a server for its zone, who watches a list for a machine. It is
// pure: no I/O, no clock. It gives nothing: each task's holder is whoever holds its lease (package lease), and this says who should ask for
// which and let go of which. All members that see the same fleet say the same.
//
// Invariants: a task is nobody's only where no member may have it; no member has more than its bound, unless all together cannot; of the
// tasks whose holder may keep them no more than Moves are moved at one time; equal input makes equal output, in whatever order it comes.
package duty

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Member is one that takes tasks.
type Member struct {
	Name     string
	Zone     string
	Weight   float64 // 0: 1
	Draining bool    // it keeps nothing and takes nothing: it drains, is full, or is too slow
}

// Task is one task.
type Task struct {
	Name string
	Zone string // whose members alone may have it; "": anybody
}

// Limits bound an assignment.
type Limits struct {
	MaxImbalance float64 // by how much of its fair part a member may have more; 0: a quarter
	MaxMoves     int     // tasks at one time, of those that their holder could keep; 0: one in a hundred, at least one
}

// Move is a task that goes from one member to another.
type Move struct{ Task, From, To string }

// Assign says who should hold each task, by name, given who does now. A task that nobody may have is left out.
func Assign(tasks []Task, members []Member, now map[string]string, l Limits) (next map[string]string, moved []Move) {
	if l.MaxImbalance <= 0 {
		l.MaxImbalance = 0.25
	}
	if l.MaxMoves <= 0 {
		l.MaxMoves = max(1, len(tasks)/100)
	}
	a := newAssignment(tasks, members, l)
	a.keep(now)
	a.place()
	a.improve(l.MaxMoves)
	next = map[string]string{}
	for _, t := range a.tasks {
		if t.to == nil {
			continue
		}
		next[t.Name] = t.to.Name
		if was, ok := now[t.Name]; ok && was != t.to.Name {
			moved = append(moved, Move{t.Name, was, t.to.Name})
		}
	}
	return next, moved
}

type assignment struct {
	tasks []*task
	zones map[string]*zone
}

// zone is what may have tasks of one zone: its members, or all. What each may have is counted within it, for tasks of one kind.
type zone struct {
	members []*member
	tasks   int
}

type member struct {
	Member
	hash  uint64
	bound map[*zone]int
	has   map[*zone]int
}

type task struct {
	Task
	hash uint64
	zone *zone
	to   *member
	home *member // whose it would be if there were no bounds
}

func newAssignment(tasks []Task, members []Member, l Limits) *assignment {
	a := &assignment{zones: map[string]*zone{}}
	all := []*member{}
	for _, m := range members {
		if m.Draining {
			continue
		}
		if !(m.Weight > 0) || math.IsInf(m.Weight, 1) {
			m.Weight = 1
		}
		all = append(all, &member{Member: m, hash: hash(m.Name), bound: map[*zone]int{}, has: map[*zone]int{}})
	}
	slices.SortFunc(all, func(x, y *member) int { return cmp.Compare(x.Name, y.Name) })
	for _, t := range tasks {
		z := a.zones[t.Zone]
		if z == nil {
			z = &zone{}
			for _, m := range all {
				if t.Zone == "" || m.Zone == t.Zone {
					z.members = append(z.members, m)
				}
			}
			a.zones[t.Zone] = z
		}
		z.tasks++
		a.tasks = append(a.tasks, &task{Task: t, hash: hash(t.Name), zone: z})
	}
	slices.SortFunc(a.tasks, func(x, y *task) int { return cmp.Compare(x.Name, y.Name) })
	for _, z := range a.zones {
		weight := 0.0
		for _, m := range z.members {
			weight += m.Weight
		}
		for _, m := range z.members {
			m.bound[z] = int(math.Ceil((1 + l.MaxImbalance) * float64(z.tasks) * m.Weight / weight))
		}
	}
	return a
}

// keep leaves tasks where they are, as far as their holders may have them. Beyond its bound a member lets go of those that are least its own.
func (a *assignment) keep(now map[string]string) {
	by := map[string]*member{}
	for _, z := range a.zones {
		for _, m := range z.members {
			by[m.Name] = m
		}
	}
	kept := map[*member][]*task{}
	for _, t := range a.tasks {
		if m := by[now[t.Name]]; m != nil && slices.Contains(t.zone.members, m) {
			kept[m] = append(kept[m], t)
		}
	}
	for m, tasks := range kept {
		slices.SortStableFunc(tasks, func(x, y *task) int { return cmp.Compare(y.score(m), x.score(m)) })
		for _, t := range tasks {
			if m.has[t.zone] < m.bound[t.zone] {
				t.give(m)
			}
		}
	}
}

// place gives what is nobody's to the member that it belongs to most and that has room.
func (a *assignment) place() {
	for _, t := range a.tasks {
		best, top, most := (*member)(nil), math.Inf(-1), math.Inf(-1)
		for _, m := range t.zone.members {
			s := t.score(m)
			if s > most {
				t.home, most = m, s
			}
			if t.to == nil && m.has[t.zone] < m.bound[t.zone] && s > top {
				best, top = m, s
			}
		}
		if best != nil {
			t.give(best)
		}
	}
}

// improve brings tasks home, a few at a time: first those that leave the fullest.
func (a *assignment) improve(moves int) {
	away := slices.DeleteFunc(slices.Clone(a.tasks), func(t *task) bool { return t.to == nil || t.to == t.home })
	slices.SortStableFunc(away, func(x, y *task) int { return cmp.Compare(y.fill(y.to), x.fill(x.to)) })
	for _, t := range away {
		if moves == 0 {
			return
		}
		if h := t.home; h.has[t.zone] < h.bound[t.zone] {
			t.to.has[t.zone]--
			t.give(h)
			moves--
		}
	}
}

// fill is how full a member is with tasks like this one.
func (t *task) fill(m *member) float64 { return float64(m.has[t.zone]) / float64(m.bound[t.zone]) }

func (t *task) give(m *member) {
	t.to = m
	m.has[t.zone]++
}

// score is how much a task belongs to a member: rendezvous, by weight. Another member's coming or going does not change it.
func (t *task) score(m *member) float64 {
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
