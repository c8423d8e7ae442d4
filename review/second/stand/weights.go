package main

import (
	"fmt"
	"time"
)

// weightsConfig returns a configuration with one route that is split over two services.
func weightsRoute(a, b string) string {
	return fmt.Sprintf(`{"Name":"r-split","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteType":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"WeightedBackends":[{"Service":"plates","Weight":%s},{"Service":"plates-trial","Weight":%s}],"MaxAttempts":1,"Public":true,"SessionAffinity":false,"StreamResume":false}`, a, b)
}

const weightsServices = `"Services":[{"Name":"plates","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false},{"Name":"plates-trial","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

// withdrawnService: a route is split 90 to 10 over two services. A configuration gives all of it to the first one, by the weights 1
// and 0.
func withdrawnService(r *record, root string, trouble bool) int {
	f := newFleet(r, root, 4, 7)
	defer f.stop()
	for _, m := range f.machines {
		f.start(m, true)
	}
	before := weightsRoute("90", "10")
	if !trouble {
		before = weightsRoute("1", "0")
	}
	f.order("/-/config/replace", 0, `{"Generation":7,"Routes":[`+before+`],`+weightsServices+`}`)
	var trial []*server
	for i, zone := range zones {
		go f.newServer(fmt.Sprint("i-plates-", i), "plates", zone, nil).beat()
		s := f.newServer(fmt.Sprint("i-trial-", i), "plates-trial", zone, nil)
		trial = append(trial, s)
		go s.beat()
	}
	if !f.waitReady(f.machines, 15*time.Second) {
		f.die("not all routers are ready")
	}
	c := f.newClients("ficu95.example", "/lohu930/2f", 175*time.Millisecond)
	time.Sleep(9 * time.Second)
	acknowledged := f.order("/-/config/update", 7, `{"Generation":9,"Upsert":{"Routes":[`+weightsRoute("1", "0")+`]}}`)
	from := acknowledged.Add(configure)
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	c.stop()
	r.logf("%s", c.summary())
	sentLate, old := 0, 0
	for _, t := range c.tries {
		if t.at.After(from) {
			sentLate++
		}
	}
	byMachine := map[string]int{}
	for _, s := range trial {
		for _, run := range s.taken() {
			t := c.tries[run.id]
			if t == nil || !t.at.After(from) {
				continue
			}
			old++
			byMachine[t.machine.name]++
			r.logf("%s runs %s, sent at %.3f to %s", s.id, run.id, r.at(t.at), t.machine.name)
		}
	}
	r.logf("by machine: %v", byMachine)
	r.logf("CONFIG: of %d requests sent later than ConfigMs after the acknowledgement at %.3f, %d were run by plates-trial, whose weight is 0", sentLate, r.at(acknowledged), old)
	if old > 0 {
		return exitBroken
	}
	return exitHeld
}
