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

// Eight processes that want ten times what a limit allows, under faults between them and three coordinators: the leader is killed, one
// is partitioned, all are down and come back, a member is stopped past the end of its allocation. In no period do all together use more
// than two periods allow; they use the limit while there are coordinators, and their floors while there are none; none gets nothing.
func TestSharesUnderFaults(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	const members = 8
	l := share.Limit{Name: "cold/s-1", Units: 80, Floor: 16, Members: members, Period: 400 * time.Millisecond}
	set := func(l share.Limit) string {
		response, err := g.Call(fleet.Request{Limit: &share.Command{Set: l}})
		if err != nil {
			t.Fatal(err)
		}
		return response.LimitError
	}
	other := l
	other.Floor++
	for _, one := range []share.Limit{l, l, other} {
		if said := set(one); (said != "") != (one == other) {
			t.Errorf("%+v: %q", one, said)
		}
	}
	if response, err := g.Call(fleet.Request{Share: &replica.ShareRequest{Limit: "none", Request: share.AllocationRequest{Member: "m"}}}); err != nil || !strings.Contains(response.LimitError, "no such limit") {
		t.Error(err, response)
	}
	limit, _ := json.Marshal(l)
	var logs [members]process.Buffer
	var all []*process.Process
	for i := range members {
		all = append(all, start(t, contend.RoleSpender, &logs[i], fmt.Sprint("m", i), "4ms", string(limit), strings.Join(g.Addrs(), ",")))
	}
	uses := func() (n int) {
		for i := range logs {
			n += len(contend.ParseUses(logs[i].String()))
		}
		return n
	}
	more := func(what string, n int) {
		was := uses()
		peertest.Eventually(t, what, func() bool { return uses() >= was+n })
	}
	full := func() float64 { // the fraction of the limit that is used without faults, over ten periods
		was, began := uses(), time.Now()
		more("it is used", 10*l.Units*7/10)
		return float64(uses()-was) / float64(l.Units) / (float64(time.Since(began)) / float64(l.Period))
	}
	more("it is used", 3*l.Units)
	t.Logf("%.2f of the limit is used", full())
	leader := g.AwaitNewLeader(-1)
	g.Members[leader].KillAndWait()
	more("after the leader's death", 3*l.Units)
	g.Members[leader].Start()
	i := g.AwaitNewLeader(-1)
	g.Members[i].Partition(true, true, true)
	more("after the leader was cut off", 3*l.Units)
	g.Members[i].Partition(false, true, true)
	all[0].Pause()
	more("while one is stopped", 4*l.Units)
	all[0].Resume()
	for _, m := range g.Members {
		m.KillAndWait()
	}
	more("what they had", l.Floor)
	was, began := uses(), time.Now()
	more("floors", 2*l.Floor)
	t.Logf("without coordinators %.2f of the floor is used", float64(uses()-was)/(float64(time.Since(began))/float64(l.Period))/float64(l.Floor))
	for _, m := range g.Members {
		m.Start()
	}
	more("coordinators are back", 4*l.Units)
	l.Units = 40
	if said := set(l); said != "" {
		t.Error(said)
	}
	more("a lower limit", 4*l.Units)
	response, err := g.Call(fleet.Request{ListLimits: true})
	if err != nil || len(response.LimitStatuses) != 1 || response.LimitStatuses[0].Limit != l || len(response.LimitStatuses[0].Members) != members || response.LimitStatuses[0].Outstanding > 80 {
		t.Errorf("%v: %+v", err, response.LimitStatuses)
	}
	var at []lease.Instant
	for i, p := range all {
		p.Input.Close()
		p.Wait()
		own := contend.ParseUses(logs[i].String())
		if len(own) < 20 {
			t.Errorf("member %d: %d uses", i, len(own))
		}
		at = append(at, own...)
	}
	slices.Sort(at)
	most, first := 0, 0
	for last := range at {
		for at[last]-at[first] > lease.Instant(l.Period) {
			first++
		}
		most = max(most, last-first+1)
	}
	bound := 2*(80-l.Floor) + l.Floor + members
	t.Logf("%d uses; in one period at most %d, %.2f of the limit; the bound is %d", len(at), most, float64(most)/80, bound)
	if most > bound {
		t.Errorf("%d uses in one period", most)
	}
}
