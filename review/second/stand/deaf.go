package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxFds       = 4100
	usualPerSec  = 50 // new connections a second at one machine
	usualFor     = 50 * time.Second
	hotPerSec    = 375 // 7.5 times as many: hot_tenant, x
	hotFdsFor    = 6500 * time.Millisecond
	routeToA     = `{"Name":"r-plate","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteType":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"%s","MaxAttempts":1,"Public":true,"SessionAffinity":false,"StreamResume":false}`
	deafServices = `"Services":[{"Name":"plates","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false},{"Name":"plates-next","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`
)

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// visitors are clients that open a connection each, send one request, and leave the connection open.
type visitors struct {
	f        *fleet
	m        *machine
	number   atomic.Int64
	mutex    sync.Mutex
	open     []net.Conn
	statuses map[int]int
	group    sync.WaitGroup
}

// come has perSec clients a second come for a time.
func (v *visitors) come(perSec int, duration time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSec))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		v.group.Go(v.visit)
	}
}

func (v *visitors) visit() {
	status := 0
	conn, err := net.DialTimeout("tcp", v.f.front(v.m), time.Second)
	if err == nil {
		_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		_, _ = fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: v%015x\r\nX-Request-Deadline: 1500\r\nContent-Length: 4\r\n\r\nbody", v.number.Add(1))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = response.StatusCode
		}
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.statuses[status]++
	v.f.logf("a user of %s is answered %d (0: not)", v.m.name, status)
	if status == 0 && conn != nil {
		conn.Close() // it gives up
	} else if conn != nil {
		v.open = append(v.open, conn)
	}
}

// leave closes all connections.
func (v *visitors) leave() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, conn := range v.open {
		conn.Close()
	}
	v.open = nil
}

// deafRouter: many users come at once, until a router has no descriptor left for a moment. In that moment a process of the core is killed.
// Later all users have left, and the operator moves a route to another service.
func deafRouter(r *record, root string, trouble bool) int {
	f := newFleet(r, root, 4, 2)
	f.limitFds = maxFds
	defer f.stop()
	for _, m := range f.machines {
		f.start(m, true)
	}
	f.order("/-/config/replace", 0, `{"Generation":7,"Routes":[`+fmt.Sprintf(routeToA, "plates")+`],`+deafServices+`}`)
	ids := map[string][]*server{}
	for i, zone := range zones {
		for _, service := range []string{"plates", "plates-next"} {
			s := f.newServer(fmt.Sprint("i-", service, "-", i), service, zone, nil)
			ids[service] = append(ids[service], s)
			go s.beat()
		}
	}
	if !f.waitReady(f.machines, 15*time.Second) {
		f.die("not all routers are ready")
	}
	time.Sleep(2 * time.Second)
	home, victim := f.machines[0], f.machines[4] // of one zone; the second one does not count for the core
	v := &visitors{f: f, m: victim, statuses: map[int]int{}}
	v.come(usualPerSec, usualFor)
	f.logf("%s has %d descriptors open", victim.name, descriptors(victim.cmd.Process.Pid))
	if trouble {
		v.group.Go(func() { v.come(hotPerSec, hotFdsFor) })
		time.Sleep(5 * time.Second)
		f.logf("many users come to %s: it has %d descriptors open, of %d", victim.name, descriptors(victim.cmd.Process.Pid), maxFds)
		f.kill([]*machine{home})
		time.Sleep(1500 * time.Millisecond)
		f.logf("%s has %d descriptors open", victim.name, descriptors(victim.cmd.Process.Pid))
		f.start(home, false)
		v.come(usualPerSec, 12*time.Second)
	}
	v.leave()
	v.group.Wait()
	v.leave()
	f.logf("the users have left; answers to them by status (0: none): %v", v.statuses)
	time.Sleep(9 * time.Second) // ContactMs after 5 s in which the machine would count as choked
	f.logf("%s has %d descriptors open", victim.name, descriptors(victim.cmd.Process.Pid))
	acknowledged := f.order("/-/config/update", 7, `{"Generation":9,"Upsert":{"Routes":[`+fmt.Sprintf(routeToA, "plates-next")+`]}}`)
	from := acknowledged.Add(configure)
	c := f.newClients("ficu95.example", "/lohu930/2f", 100*time.Millisecond)
	time.Sleep(time.Until(from.Add(5 * time.Second)))
	c.stop()
	r.logf("%s", c.summary())
	for id, t := range c.tries {
		r.logf("%s sent at %.3f to %s, answered %d after %.3f s", id, r.at(t.at), t.machine.name, t.status, t.took.Seconds())
	}
	old := map[string]int{}
	total := 0
	for _, s := range ids["plates"] {
		for _, run := range s.taken() {
			if t := c.tries[run.id]; t != nil && t.at.After(from) {
				old[t.machine.name]++
				total++
				r.logf("%s runs %s, sent at %.3f to %s, arrived at %.3f", s.id, run.id, r.at(t.at), t.machine.name, r.at(run.at))
			}
		}
	}
	text, _ := os.ReadFile(f.folder + "/" + victim.name + ".log")
	r.logf("log of %s says that it has too many open files: %t", victim.name, strings.Contains(string(text), "too many open files"))
	for _, m := range f.machines {
		_, status := get("http://" + f.control(m) + "/-/status")
		for line := range strings.SplitSeq(status, ",") {
			if strings.HasPrefix(line, `"Generation"`) || strings.HasPrefix(line, `"InTouch"`) || strings.HasPrefix(line, `"Ready"`) {
				r.logf("%s: %s", m.name, line)
			}
		}
	}
	r.logf("requests sent later than ConfigMs after the acknowledgement at %.3f and run by the old service, by machine: %v", r.at(acknowledged), old)
	r.logf("CONFIG: %d requests were run by the old service", total)
	if total > 0 {
		return exitBroken
	}
	return exitHeld
}
