package main

import (
	"time"
)

const drainConfig = `{"Generation":7,"Routes":[{"Name":"r-plate","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteType":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"plates","MaxAttempts":1,"Public":true,"SessionAffinity":false,"StreamResume":false}],
"Services":[{"Name":"plates","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// drainForgotten: a server of a release deregisters and is acknowledged. Right after that, all processes of the core are killed, and
// return within a second with their disks.
func drainForgotten(r *record, root string, trouble bool) int {
	f := newFleet(r, root, 4, 2)
	defer f.stop()
	for _, m := range f.machines {
		f.start(m, true)
	}
	f.order("/-/config/replace", 0, drainConfig)
	for i, zone := range zones[1:] {
		s := f.newServer("i-stays-"+string(rune('a'+i)), "plates", zone, nil)
		go s.beat()
	}
	leaving := f.newServer("i-leaves", "plates", zones[0], nil)
	go leaving.beat()
	if !f.waitReady(f.machines, 15*time.Second) {
		f.die("not all routers are ready")
	}
	c := f.newClients("ficu95.example", "/lohu930/2f", 60*time.Millisecond)
	time.Sleep(7 * time.Second)
	if len(leaving.taken()) == 0 {
		f.die("the server that leaves was never used")
	}

	// The release: the new server starts first, and then the old one leaves. It never says that it is draining.
	core := f.machines[:f.core]
	leaving.stopBeats()
	if leaving.call("heartbeat", core) == nil {
		f.die("heartbeat not acknowledged")
	}
	time.Sleep(50 * time.Millisecond)
	added := f.newServer("i-new", "plates", zones[0], nil)
	go added.beat()
	time.Sleep(400 * time.Millisecond)
	by := leaving.call("deregister", core)
	acknowledged := time.Now()
	if by == nil {
		f.die("the deregistration was not acknowledged")
	}
	f.logf("%s acknowledges that %s is gone", by.name, leaving.id)
	inTouch := acknowledged
	if trouble {
		f.kill(core)
		time.Sleep(500 * time.Millisecond)
		for _, m := range core {
			f.start(m, false)
			inTouch = m.startedAt.Add(contact)
		}
	}
	// The server serves on for DrainMs and "at times many seconds".
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	c.stop()
	r.logf("%s", c.summary())
	from := acknowledged.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	r.logf("every machine is in touch again and DrainMs is over from %.3f on", r.at(from))
	late := 0
	for _, run := range leaving.taken() {
		t := c.tries[run.id]
		if run.at.Before(acknowledged) || t == nil {
			continue
		}
		r.logf("%s runs %s, sent at %.3f to %s, arrived at %.3f", leaving.id, run.id, r.at(t.at), t.machine.name, r.at(run.at))
		if t.at.After(from) {
			late++
		}
	}
	r.logf("DRAIN: %d requests that were sent after %.3f were run by %s, whose end was acknowledged at %.3f", late, r.at(from), leaving.id, r.at(acknowledged))
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
