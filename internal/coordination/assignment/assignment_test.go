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

// fleet returns members of three zones, and tasks that any of them may have.
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

// A member that leaves moves its own tasks and no other; one that comes gets its share by a few moves at a time, from the fullest first, and
// then nothing moves any more; one that flaps moves what it has, and no more. FIGURES=1 plays 2,000 members and 10,000 tasks.
func TestOneMemberJoinsOrLeaves(t *testing.T) {
	sizes := [][2]int{{20, 100}, {200, 1000}}
	if os.Getenv("FIGURES") != "" {
		sizes = append(sizes, [2]int{2000, 10000})
	}
	for _, size := range sizes {
		ms, ts := fleet(size[0], size[1])
		l := Limits{MaxMoves: max(1, size[1]/100)}
		began := time.Now()
		held, _ := Assign(ts, ms, nil, l)
		took := time.Since(began)
		has, fair := countByMember(held), float64(size[1])/float64(size[0])
		most := 0
		for _, n := range has {
			most = max(most, n)
		}
		if len(held) != size[1] || float64(most) > math.Ceil(fair*1.25) {
			t.Errorf("%d tasks are assigned, %d to one member", len(held), most)
		}
		gone, moved := Assign(ts, ms[1:], held, l)
		if orphans := has["m0"]; len(moved) > orphans+l.MaxMoves || len(gone) != size[1] {
			t.Errorf("%d moved, %d were those of the member that left", len(moved), orphans)
		}
		back, rounds, moves := gone, 0, 0
		for ; rounds < 200; rounds++ {
			var m []Move
			if back, m = Assign(ts, ms, back, l); len(m) == 0 {
				break
			} else if len(m) > l.MaxMoves {
				t.Errorf("%d moved at one time", len(m))
			}
			moves += len(m)
		}
		if got := countByMember(back)["m0"]; float64(got) < 0.4*fair {
			t.Errorf("the member that is back has %d, its fair share is %.1f", got, fair)
		}
		if moves > 4*has["m0"]+2*l.MaxMoves {
			t.Errorf("%d moves for a member that is back, which had %d", moves, has["m0"])
		}
		t.Logf("%d members, %d tasks: assigned in %v, the fullest has %d of %.0f; one goes: %d of its own move, %d others; it is back after %d moves in %d rounds", size[0], size[1],
			took.Round(time.Millisecond), most, fair, has["m0"], len(moved)-has["m0"], moves, rounds)
	}
}

// The invariants, over any fleet: zones and bounds are kept, a draining member has nothing, a task is unassigned only where no member may have
// it, tasks that could stay move within the limit, and the order of the input does not matter.
func TestAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, ts := fleet(rapid.IntRange(0, 12).Draw(t, "members"), rapid.IntRange(0, 40).Draw(t, "tasks"))
		for i := range ms {
			ms[i].Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
			ms[i].Draining = rapid.IntRange(0, 4).Draw(t, "leaves") == 0
		}
		for i := range ts {
			ts[i].Zone = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "zone")
		}
		now := map[string]string{}
		for i := range ts {
			if n := rapid.IntRange(-1, 14).Draw(t, "holder"); n >= 0 {
				now[ts[i].Name] = fmt.Sprint("m", n) // some are those of members that do not exist
			}
		}
		l := Limits{MaxImbalance: 0.5, MaxMoves: rapid.IntRange(1, 5).Draw(t, "moves")}
		next, moved := Assign(ts, ms, now, l)
		may := func(task Task) (n int) {
			for _, m := range ms {
				if !m.Draining && (task.Zone == "" || task.Zone == m.Zone) {
					n++
				}
			}
			return n
		}
		by := map[string]Member{}
		for _, m := range ms {
			by[m.Name] = m
		}
		has, sum, weight := map[[2]string]int{}, map[string]int{}, map[string]float64{}
		for _, task := range ts {
			sum[task.Zone]++
			m, held := next[task.Name]
			if held != (may(task) > 0) {
				t.Fatalf("%v: held %v, %d may", task, held, may(task))
			}
			if one := by[m]; held && (one.Draining || task.Zone != "" && task.Zone != one.Zone) {
				t.Fatalf("%v is assigned to %v", task, one)
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
		for at, n := range has {
			if m, ok := by[at[0]]; ok {
				if bound := math.Ceil(1.5 * float64(sum[at[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weight[at[1]]); float64(n) > bound {
					t.Fatalf("%v has %d, its bound is %v", m, n, bound)
				}
			}
		}
		free, over := 0, 0
		full := map[[2]string]int{}
		for _, task := range ts {
			full[[2]string{now[task.Name], task.Zone}]++
		}
		for _, m := range moved {
			if one, lives := by[m.From]; lives && !one.Draining {
				free++
			}
		}
		for at, n := range full {
			if m, ok := by[at[0]]; ok && !m.Draining && (at[1] == "" || at[1] == m.Zone) {
				bound := math.Ceil(1.5 * float64(sum[at[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weight[at[1]])
				over += max(0, n-int(bound))
			} else if ok && !m.Draining {
				over += n // of another zone
			}
		}
		if free > over+l.MaxMoves {
			t.Fatalf("%d moved, %d had to and %d may", free, over, l.MaxMoves)
		}
		ms, ts = rapid.Permutation(ms).Draw(t, "members' order"), rapid.Permutation(ts).Draw(t, "tasks' order")
		if again, _ := Assign(ts, ms, maps.Clone(now), l); !reflect.DeepEqual(again, next) {
			t.Fatal("another order of the input is another assignment")
		}
	})
}
