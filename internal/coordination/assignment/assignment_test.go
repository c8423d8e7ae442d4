package assignment

import (
	"fmt"
	"maps"
	"math"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet returns members in three zones, and tasks that any of them may have.
func fleet(members, tasks int) (ms []Member, ts []Task) {
	for i := range members {
		ms = append(ms, Member{Name: fmt.Sprint("m", i), Zone: string(rune('a' + i%3))})
	}
	for i := range tasks {
		ts = append(ts, Task{Name: fmt.Sprint("t", i)})
	}
	return ms, ts
}

// countByMember returns how many tasks each member has.
func countByMember(held map[string]string) map[string]int {
	n := map[string]int{}
	for _, m := range held {
		n[m]++
	}
	return n
}

// When a member leaves, its own tasks move, and at most MaxMoves others. When it comes back, it gets its share in rounds of at
// most MaxMoves moves, from the fullest members first, and then nothing moves any more. The total number of moves is bounded by
// the number of tasks that the member had, so a member that flaps does not cause more. With FIGURES=1 the test also runs 2,000
// members and 10,000 tasks.
func TestOneMemberJoinsOrLeaves(t *testing.T) {
	sizes := [][2]int{{20, 100}, {200, 1000}}
	if os.Getenv("FIGURES") != "" {
		sizes = append(sizes, [2]int{2000, 10000})
	}
	for _, size := range sizes {
		ms, ts := fleet(size[0], size[1])
		l := Limits{MaxMoves: max(1, size[1]/100)}
		startedAt := time.Now()
		held, _ := Assign(ts, ms, nil, l)
		elapsed := time.Since(startedAt)
		has, fair := countByMember(held), float64(size[1])/float64(size[0])
		most := 0
		for _, n := range has {
			most = max(most, n)
		}
		if len(held) != size[1] || float64(most) > math.Ceil(fair*1.25) {
			t.Errorf("%d tasks are assigned, %d to one member", len(held), most)
		}
		without, moved := Assign(ts, ms[1:], held, l)
		if orphans := has["m0"]; len(moved) > orphans+l.MaxMoves || len(without) != size[1] {
			t.Errorf("%d tasks moved, %d of them were those of the member that left", len(moved), orphans)
		}
		back, rounds, moves := without, 0, 0
		for ; rounds < 200; rounds++ {
			var m []Move
			if back, m = Assign(ts, ms, back, l); len(m) == 0 {
				break
			} else if len(m) > l.MaxMoves {
				t.Errorf("%d tasks moved in one round", len(m))
			}
			moves += len(m)
		}
		if got := countByMember(back)["m0"]; float64(got) < 0.4*fair {
			t.Errorf("the returned member has %d tasks, its fair share is %.1f", got, fair)
		}
		if moves > 4*has["m0"]+2*l.MaxMoves {
			t.Errorf("%d moves for a returned member, which had %d tasks", moves, has["m0"])
		}
		t.Logf("%d members, %d tasks: assigned in %v, at most %d to one member, fair share %.0f; one leaves: %d tasks of its own move, %d others; after its return %d moves in %d rounds", size[0], size[1],
			elapsed.Round(time.Millisecond), most, fair, has["m0"], len(moved)-has["m0"], moves, rounds)
	}
}

// Checks the invariants for random fleets: zones and bounds are respected, a draining member has no tasks, a task is unassigned
// only if no member may have it, at most MaxMoves of the tasks that could stay move, and the order of the input does not matter.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, ts := fleet(rapid.IntRange(0, 12).Draw(t, "members"), rapid.IntRange(0, 40).Draw(t, "tasks"))
		for i := range ms {
			ms[i].Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
			ms[i].Draining = rapid.IntRange(0, 4).Draw(t, "leaves") == 0
		}
		for i := range ts {
			ts[i].Zone = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "zone")
		}
		present := map[string]string{}
		for i := range ts {
			if n := rapid.IntRange(-1, 14).Draw(t, "holder"); n >= 0 {
				present[ts[i].Name] = fmt.Sprint("m", n) // some of these members do not exist
			}
		}
		l := Limits{MaxImbalance: 0.5, MaxMoves: rapid.IntRange(1, 5).Draw(t, "moves")}
		next, moved := Assign(ts, ms, present, l)
		eligible := func(task Task) (n int) {
			for _, m := range ms {
				if !m.Draining && (task.Zone == "" || task.Zone == m.Zone) {
					n++
				}
			}
			return n
		}
		byName := map[string]Member{}
		for _, m := range ms {
			byName[m.Name] = m
		}
		// has is by member and zone of the task, sum and weight by zone of the task.
		has, sum, weight := map[[2]string]int{}, map[string]int{}, map[string]float64{}
		for _, task := range ts {
			sum[task.Zone]++
			m, held := next[task.Name]
			if held != (eligible(task) > 0) {
				t.Fatalf("%v: assigned %v, %d members are eligible", task, held, eligible(task))
			}
			if member := byName[m]; held && (member.Draining || task.Zone != "" && task.Zone != member.Zone) {
				t.Fatalf("%v is assigned to %v", task, member)
			}
			has[[2]string{m, task.Zone}]++
		}
		for zone := range sum {
			for _, m := range ms {
				if !m.Draining && (zone == "" || zone == m.Zone) {
					weight[zone] += max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0])
				}
			}
		}
		for key, n := range has {
			if m, ok := byName[key[0]]; ok {
				if bound := math.Ceil(1.5 * float64(sum[key[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weight[key[1]]); float64(n) > bound {
					t.Fatalf("%v has %d, its bound is %v", m, n, bound)
				}
			}
		}
		voluntary, over := 0, 0       // moves from members that could keep tasks; tasks that members had above their bounds or of other zones
		before := map[[2]string]int{} // by member and zone of the task
		for _, task := range ts {
			before[[2]string{present[task.Name], task.Zone}]++
		}
		for _, m := range moved {
			if member, exists := byName[m.From]; exists && !member.Draining {
				voluntary++
			}
		}
		for key, n := range before {
			if m, ok := byName[key[0]]; ok && !m.Draining && (key[1] == "" || key[1] == m.Zone) {
				bound := math.Ceil(1.5 * float64(sum[key[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weight[key[1]])
				over += max(0, n-int(bound))
			} else if ok && !m.Draining {
				over += n // tasks of another zone
			}
		}
		if voluntary > over+l.MaxMoves {
			t.Fatalf("%d tasks moved, %d of them had to and %d may", voluntary, over, l.MaxMoves)
		}
		ms, ts = rapid.Permutation(ms).Draw(t, "members' order"), rapid.Permutation(ts).Draw(t, "tasks' order")
		if again, _ := Assign(ts, ms, maps.Clone(present), l); !reflect.DeepEqual(again, next) {
			t.Fatal("the assignment depends on the order of the input")
		}
	})
}
