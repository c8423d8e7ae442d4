package main

import (
	"time"
)

const drainConfig = `{"Generation":7,"Routes":[{"Name":"r-plate","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteType":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"plates","MaxAttempts":1,"Public":true,"SessionAffinity":false,"StreamResume":false}],
"Services":[{"Name":"plates","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// lateHeartbeat: a heartbeat of a server is seconds late. Meanwhile the server deregisters and is acknowledged, and all processes of the
// core are killed and return with their disks.
func lateHeartbeat(r *record, root string, trouble bool) int {
	f := newFleet(r, root, 4, 2)
	defer f.stop()
	for _, m := range f.machines {
		f.start(m, true)
	}
	f.order("/-/config/replace", 0, drainConfig)
	for i, zone := range zones[1:] {
		go f.newServer("i-stays-"+string(rune('a'+i)), "plates", zone, nil).beat()
	}
	go f.newServer("i-new", "plates", zones[0], nil).beat()
	leaving := f.newServer("i-leaves", "plates", zones[0], nil)
	go leaving.beat()
	if !f.waitReady(f.machines, 15*time.Second) {
		f.die("not all routers are ready")
	}
	c := f.newClients("ficu95.example", "/lohu930/2f", 60*time.Millisecond, "")
	time.Sleep(7 * time.Second)
	if len(leaving.taken()) == 0 {
		f.die("the server that leaves was never used")
	}
	core := f.machines[:f.core]
	leaving.stopBeats()
	late := leaving.body() // this heartbeat is on its way for seconds; the next one is acknowledged before it
	sent := time.Now()
	time.Sleep(time.Second) // not acknowledged within a second: the next router is called
	if leaving.call("heartbeat", core) == nil {
		f.die("heartbeat not acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	by := leaving.call("deregister", core)
	acknowledged := time.Now()
	if by == nil {
		f.die("the deregistration was not acknowledged")
	}
	f.logf("%s acknowledges that %s is gone", by.name, leaving.id)
	inTouch := acknowledged
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.kill(core)
		time.Sleep(500 * time.Millisecond)
		for _, m := range core {
			f.start(m, false)
			inTouch = m.startedAt.Add(2 * contact) // twice, as after a fault that took most of the core
		}
	}
	time.Sleep(time.Until(sent.Add(5500 * time.Millisecond)))
	status, _ := post("http://"+f.control(core[0])+"/-/instances/"+leaving.id+"/heartbeat", late)
	f.logf("the late heartbeat reaches %s after %.1f s: %d", core[0].name, time.Since(sent).Seconds(), status)
	time.Sleep(time.Until(acknowledged.Add(12 * time.Second))) // it serves on for "at times many seconds"
	c.stop()
	r.logf("%s", c.summary())
	for id, t := range c.tries {
		r.logf("%s sent at %.3f to %s, answered %d after %.3f s", id, r.at(t.at), t.machine.name, t.status, t.took.Seconds())
	}
	from := acknowledged.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	r.logf("every machine is in touch again and DrainMs is over from %.3f on", r.at(from))
	tooLate := 0
	for _, run := range leaving.taken() {
		t := c.tries[run.id]
		if run.at.Before(acknowledged) || t == nil {
			continue
		}
		r.logf("%s runs %s, sent at %.3f to %s, arrived at %.3f", leaving.id, run.id, r.at(t.at), t.machine.name, r.at(run.at))
		if t.at.After(from) {
			tooLate++
		}
	}
	r.logf("DRAIN: %d requests that were sent after %.3f were run by %s, whose end was acknowledged at %.3f", tooLate, r.at(from), leaving.id, r.at(acknowledged))
	if tooLate > 0 {
		return exitBroken
	}
	return exitHeld
}
