package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
	"petrelhook/internal/rig/contend"
	"petrelhook/internal/rig/process"
)

// Eight processes demand ten times what a limit allows, while three coordinators fail: the leader is killed, a leader is partitioned, all
// are down and restarted, and a member is suspended past the end of its allocation. In no period may all members together use more than
// two periods allow. They must use the limit while coordinators are available and their floors while none is, and each must get a share.
func TestSharesUnderFaults(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	const members = 8
	l := share.Limit{Name: "cold/s-1", Units: 80, Floor: 16, Members: members, Period: 400 * time.Millisecond}
	setLimit := func(l share.Limit) string {
		response, err := g.Call(fleet.Request{Limit: &share.Command{Set: l}})
		if err != nil {
			t.Fatal(err)
		}
		return response.LimitError
	}
	other := l
	other.Floor++
	for _, one := range []share.Limit{l, l, other} {
		if said := setLimit(one); (said != "") != (one == other) {
			t.Errorf("%+v: %q", one, said)
		}
	}
	if response, err := g.Call(fleet.Request{Share: &replica.ShareRequest{Limit: "none", Request: share.AllocationRequest{Member: "m"}}}); err != nil || !strings.Contains(response.LimitError, "no such limit") {
		t.Error(err, response)
	}
	limit, _ := json.Marshal(l)
	var logs [members]process.Buffer
	var processes []*process.Process
	for i := range members {
		processes = append(processes, start(t, contend.RoleSpender, &logs[i], fmt.Sprint("m", i), "4ms", string(limit), strings.Join(g.Addrs(), ",")))
	}
	countUses := func() (count int) {
		for i := range logs {
			count += len(contend.ParseUses(logs[i].String()))
		}
		return count
	}
	awaitUses := func(what string, count int) {
		before := countUses()
		peertest.Eventually(t, what, func() bool { return countUses() >= before+count })
	}
	usedFraction := func() float64 { // returns the fraction of the limit that is used without faults, over about ten periods
		before, began := countUses(), time.Now()
		awaitUses("members use the limit", 10*l.Units*7/10)
		return float64(countUses()-before) / float64(l.Units) / (float64(time.Since(began)) / float64(l.Period))
	}
	awaitUses("members use the limit", 3*l.Units)
	t.Logf("%.2f of the limit is used", usedFraction())
	leader := g.AwaitNewLeader(-1)
	g.Members[leader].KillAndWait()
	awaitUses("after the leader's death", 3*l.Units)
	g.Members[leader].Start()
	i := g.AwaitNewLeader(-1)
	g.Members[i].Partition(true, true, true)
	awaitUses("after the leader was partitioned", 3*l.Units)
	g.Members[i].Partition(false, true, true)
	processes[0].Pause()
	awaitUses("while a member is suspended", 4*l.Units)
	processes[0].Resume()
	for _, m := range g.Members {
		m.KillAndWait()
	}
	awaitUses("members use what was allocated", l.Floor)
	before, began := countUses(), time.Now()
	awaitUses("members use their floors", 2*l.Floor)
	t.Logf("without coordinators %.2f of the floor is used", float64(countUses()-before)/(float64(time.Since(began))/float64(l.Period))/float64(l.Floor))
	for _, m := range g.Members {
		m.Start()
	}
	awaitUses("after the coordinators were restarted", 4*l.Units)
	l.Units = 40
	if said := setLimit(l); said != "" {
		t.Error(said)
	}
	awaitUses("after the limit was lowered", 4*l.Units)
	response, err := g.Call(fleet.Request{ListLimits: true})
	if err != nil || len(response.LimitStatuses) != 1 || response.LimitStatuses[0].Limit != l || len(response.LimitStatuses[0].Members) != members || response.LimitStatuses[0].Outstanding > 80 {
		t.Errorf("%v: %+v", err, response.LimitStatuses)
	}
	var useTimes []lease.Instant
	for i, p := range processes {
		p.Input.Close()
		p.Wait()
		own := contend.ParseUses(logs[i].String())
		if len(own) < 20 {
			t.Errorf("member %d: %d uses", i, len(own))
		}
		useTimes = append(useTimes, own...)
	}
	slices.Sort(useTimes)
	most, first := 0, 0
	for last := range useTimes {
		for useTimes[last]-useTimes[first] > lease.Instant(l.Period) {
			first++
		}
		most = max(most, last-first+1)
	}
	bound := 2*(80-l.Floor) + l.Floor + members
	t.Logf("%d uses; at most %d in one period, %.2f of the limit; the bound is %d", len(useTimes), most, float64(most)/80, bound)
	if most > bound {
		t.Errorf("%d uses in one period", most)
	}
}
