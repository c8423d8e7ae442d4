package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// askFor is how long the operator asks for the configuration in the end; the page says "for ContactMs at least".
const askFor = 8 * time.Second

// deadCore: a tenant sends many times its usual, until two of the four machines that count have no descriptor left. In that moment the
// process of the third one is killed. Later, when all users have left, that of the fourth one is killed. Both return with their disks.
func deadCore(r *record, root string, trouble bool) int {
	f := newFleet(r, root, 4, 2)
	f.limitFds = processFds
	f.requireFds(2)
	defer f.stop()
	for _, m := range f.machines {
		f.start(m, true)
	}
	f.order("/-/config/replace", 0, `{"Generation":7,"Routes":[`+fmt.Sprintf(routeToA, "plates")+`],`+deafRest+`}`)
	for i, zone := range zones {
		go f.newServer(fmt.Sprint("i-plates-", i), "plates", zone, nil).beat()
	}
	if !f.waitReady(f.machines, 15*time.Second) {
		f.die("not all routers are ready")
	}
	time.Sleep(2 * time.Second)
	first, second := f.machines[0], f.machines[1]
	var crowds []*visitors
	var crowd sync.WaitGroup
	crowded := f.machines[2:f.core]
	for _, m := range crowded {
		v := &visitors{f: f, m: m, statuses: map[int]int{}}
		crowds = append(crowds, v)
		crowd.Go(func() { v.comeUsual(usualFor + hotFor + afterHot) })
	}
	logDescriptors := func() {
		for _, m := range crowded {
			f.logf("%s has %d descriptors open, of %d", m.name, descriptors(m.cmd.Process.Pid), processFds)
		}
	}
	time.Sleep(usualFor)
	logDescriptors()
	if trouble {
		hot := time.Now()
		f.logf("one tenant sends %v times its usual", hotFactor)
		for _, v := range crowds {
			crowd.Go(v.comeHot)
		}
		for time.Since(hot) < hotFor && !full(crowded) {
			time.Sleep(20 * time.Millisecond)
		}
		logDescriptors()
		f.kill([]*machine{first})
		time.Sleep(time.Second)
		f.start(first, false)
	}
	crowd.Wait()
	logDescriptors()
	for _, v := range crowds {
		v.leave()
		v.group.Wait()
		v.leave()
		f.logf("the users of %s have left; answers to them by status (0: none): %v", v.m.name, v.statuses)
	}
	time.Sleep(8 * time.Second) // ContactMs after 5 s in which the machines would count as choked
	if trouble {
		f.kill([]*machine{second})
		time.Sleep(500 * time.Millisecond)
		f.start(second, false)
	}
	time.Sleep(6 * time.Second) // all processes run, and nothing is in trouble: twice ContactMs
	f.logf("the operator asks all machines in turn for the configuration, and sends an order, for %v", askFor)
	reads, orders := map[int]int{}, map[int]int{}
	for i, end := 0, time.Now().Add(askFor); time.Now().Before(end); i++ {
		m := f.machines[i%len(f.machines)]
		status, _ := get("http://" + f.control(m) + "/-/config/read")
		reads[status]++
		r.logf("read at %s: %d", m.name, status)
		status, _ = post("http://"+f.control(m)+"/-/config/update", `{"Generation":9,"Upsert":{"Routes":[`+fmt.Sprintf(routeToA, "plates-next")+`]}}`, "X-Base-Version", strconv.Itoa(7))
		orders[status]++
		r.logf("order at %s: %d", m.name, status)
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range f.machines {
		var s struct {
			Ready, InTouch, Primary bool
			Generation              int64
		}
		_, text := get("http://" + f.control(m) + "/-/status")
		_ = json.Unmarshal([]byte(text), &s)
		r.logf("%s: ready %t, in touch %t, primary %t, generation %d, runs since %.3f", m.name, s.Ready, s.InTouch, s.Primary, s.Generation, r.at(m.startedAt))
	}
	r.logf("orders by status: %v", orders)
	r.logf("CONFIG: reads of the configuration by status: %v", reads)
	if reads[http.StatusOK] == 0 {
		return exitBroken
	}
	return exitHeld
}
