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

// fleet returns members in three zones, and tasks that may be assigned to any of them.
func fleet(memberCount, taskCount int) (members []Member, tasks []Task) {
	for i := range memberCount {
		members = append(members, Member{Name: fmt.Sprint("m", i), Zone: string(rune('a' + i%3))})
	}
	for i := range taskCount {
		tasks = append(tasks, Task{Name: fmt.Sprint("t", i)})
	}
	return members, tasks
}

// countByMember returns how many tasks each member has. assigned is the member of each task.
func countByMember(assigned map[string]string) map[string]int {
	counts := map[string]int{}
	for _, member := range assigned {
		counts[member]++
	}
	return counts
}

// When a member leaves, all of its tasks move, and at most MaxMoves other tasks. When the member returns, it gets its share in rounds
// of at most MaxMoves moves, from the members with the most tasks first; after that, no task moves. The total number of moves is
// bounded by the number of tasks that the member had, so each time that a member leaves and returns causes a bounded number of moves.
// If FIGURES is set in the environment, the test also runs with 2,000 members and 10,000 tasks.
func TestOneMemberJoinsOrLeaves(t *testing.T) {
	sizes := [][2]int{{20, 100}, {200, 1000}}
	if os.Getenv("FIGURES") != "" {
		sizes = append(sizes, [2]int{2000, 10000})
	}
	for _, size := range sizes {
		members, tasks := fleet(size[0], size[1])
		limits := Limits{MaxMoves: max(1, size[1]/100)}
		startedAt := time.Now()
		assigned, _ := Assign(tasks, members, nil, limits)
		elapsed := time.Since(startedAt)
		counts, fair := countByMember(assigned), float64(size[1])/float64(size[0])
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		if len(assigned) != size[1] || float64(most) > math.Ceil(fair*1.25) {
			t.Errorf("%d tasks are assigned, at most %d to one member", len(assigned), most)
		}
		without, moved := Assign(tasks, members[1:], assigned, limits)
		if orphans := counts["m0"]; len(moved) > orphans+limits.MaxMoves || len(without) != size[1] {
			t.Errorf("%d tasks moved when a member with %d tasks left", len(moved), orphans)
		}
		returned, rounds, moves := without, 0, 0
		for ; rounds < 200; rounds++ {
			var roundMoves []Move
			if returned, roundMoves = Assign(tasks, members, returned, limits); len(roundMoves) == 0 {
				break
			} else if len(roundMoves) > limits.MaxMoves {
				t.Errorf("%d tasks moved in one round", len(roundMoves))
			}
			moves += len(roundMoves)
		}
		if got := countByMember(returned)["m0"]; float64(got) < 0.4*fair {
			t.Errorf("the returned member has %d tasks, its fair share is %.1f", got, fair)
		}
		if moves > 4*counts["m0"]+2*limits.MaxMoves {
			t.Errorf("%d moves for a returned member, which had %d tasks", moves, counts["m0"])
		}
		t.Logf("%d members, %d tasks: assigned in %v, at most %d to one member, fair share %.0f; one leaves: %d tasks of its own move, %d others; after its return %d moves in %d rounds", size[0], size[1],
			elapsed.Round(time.Millisecond), most, fair, counts["m0"], len(moved)-counts["m0"], moves, rounds)
	}
}

// Checks the invariants for random fleets: zones and bounds are respected, a draining member has no tasks, a task is unassigned
// only if no member may have it, at most MaxMoves tasks move that their members could have kept, and the order of the input does
// not matter.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, tasks := fleet(rapid.IntRange(0, 12).Draw(t, "members"), rapid.IntRange(0, 40).Draw(t, "tasks"))
		for i := range members {
			members[i].Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
			members[i].Draining = rapid.IntRange(0, 4).Draw(t, "leaves") == 0
		}
		for i := range tasks {
			tasks[i].Zone = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "zone")
		}
		present := map[string]string{}
		for i := range tasks {
			if n := rapid.IntRange(-1, 14).Draw(t, "holder"); n >= 0 {
				present[tasks[i].Name] = fmt.Sprint("m", n) // some of these members do not exist
			}
		}
		limits := Limits{MaxImbalance: 0.5, MaxMoves: rapid.IntRange(1, 5).Draw(t, "moves")}
		next, moved := Assign(tasks, members, present, limits)
		eligible := func(task Task) (n int) {
			for _, m := range members {
				if !m.Draining && (task.Zone == "" || task.Zone == m.Zone) {
					n++
				}
			}
			return n
		}
		byName := map[string]Member{}
		for _, m := range members {
			byName[m.Name] = m
		}
		// counts is the number of tasks by member and zone of the task. taskTotal is the number of tasks, and weightTotal the weight
		// of the eligible members, by zone of the task. A member's weight of 0 counts as 1.
		counts, taskTotal, weightTotal := map[[2]string]int{}, map[string]int{}, map[string]float64{}
		for _, task := range tasks {
			taskTotal[task.Zone]++
			name, assigned := next[task.Name]
			if assigned != (eligible(task) > 0) {
				t.Fatalf("%v: assigned %v, %d members are eligible", task, assigned, eligible(task))
			}
			if member := byName[name]; assigned && (member.Draining || task.Zone != "" && task.Zone != member.Zone) {
				t.Fatalf("%v is assigned to %v", task, member)
			}
			counts[[2]string{name, task.Zone}]++
		}
		for zone := range taskTotal {
			for _, m := range members {
				if !m.Draining && (zone == "" || zone == m.Zone) {
					weightTotal[zone] += max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0])
				}
			}
		}
		for key, n := range counts {
			if m, ok := byName[key[0]]; ok {
				if bound := math.Ceil(1.5 * float64(taskTotal[key[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weightTotal[key[1]]); float64(n) > bound {
					t.Fatalf("%v has %d tasks, its bound is %v", m, n, bound)
				}
			}
		}
		// movesFromActive is the number of tasks that moved away from members that exist and do not drain. mandatory is the number of
		// tasks that such members could not keep: tasks above the member's bound, and tasks of another zone.
		movesFromActive, mandatory := 0, 0
		before := map[[2]string]int{} // by member and zone of the task
		for _, task := range tasks {
			before[[2]string{present[task.Name], task.Zone}]++
		}
		for _, m := range moved {
			if member, exists := byName[m.From]; exists && !member.Draining {
				movesFromActive++
			}
		}
		for key, n := range before {
			if m, ok := byName[key[0]]; ok && !m.Draining && (key[1] == "" || key[1] == m.Zone) {
				bound := math.Ceil(1.5 * float64(taskTotal[key[1]]) * max(m.Weight, map[bool]float64{true: 1}[m.Weight == 0]) / weightTotal[key[1]])
				mandatory += max(0, n-int(bound))
			} else if ok && !m.Draining {
				mandatory += n // tasks of another zone
			}
		}
		if movesFromActive > mandatory+limits.MaxMoves {
			t.Fatalf("%d tasks moved away from members that do not drain; %d had to, and at most %d others may", movesFromActive, mandatory, limits.MaxMoves)
		}
		members, tasks = rapid.Permutation(members).Draw(t, "members' order"), rapid.Permutation(tasks).Draw(t, "tasks' order")
		if again, _ := Assign(tasks, members, maps.Clone(present), limits); !reflect.DeepEqual(again, next) {
			t.Fatal("the assignment depends on the order of the input")
		}
	})
}
