package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server ran.
type run struct {
	id   string
	from string
	at   time.Time
}

// server is a server of a service. It sends heartbeats until it leaves.
type server struct {
	f                 *fleet
	id, service, zone string
	address           string
	listener          net.Listener
	handler           http.HandlerFunc // answers a request that it runs

	mutex    sync.Mutex
	sequence int64
	state    string
	silent   bool // sends no more heartbeats
	runs     []run
}

func (f *fleet) newServer(id, service, zone string, handler http.HandlerFunc) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.die("%v", err)
	}
	s := &server{f: f, id: id, service: service, zone: zone, address: l.Addr().String(), listener: l, handler: handler, state: "ready"}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	s.runs = append(s.runs, run{id: id, from: r.RemoteAddr, at: time.Now()})
	s.mutex.Unlock()
	s.f.logf("%s takes %s and runs it", s.id, id)
	w.Header().Set("X-Response-Signature", s.id+"."+id)
	if s.handler != nil {
		s.handler(w, r)
		return
	}
	_, _ = io.WriteString(w, "answer of "+s.id)
}

// body returns the body of the next heartbeat.
func (s *server) body() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Generation":"v1","Slots":16,"State":%q,"ColdRemainingMs":0,"Sequence":%d}`,
		s.service, s.address, s.zone, s.state, s.sequence)
}

// call sends one call to machines in turn until one acknowledges it, and returns that machine; nil if none does.
func (s *server) call(path string, machines []*machine) *machine {
	for range 3 {
		body := s.body()
		for _, m := range machines {
			if status, _ := post("http://"+s.f.control(m)+"/-/instances/"+s.id+"/"+path, body); status >= 200 && status < 300 {
				return m
			}
		}
	}
	return nil
}

// beat sends heartbeats about every HeartbeatMs until the server is silent.
func (s *server) beat() {
	for {
		s.mutex.Lock()
		silent := s.silent
		s.mutex.Unlock()
		if silent {
			return
		}
		machines := append([]*machine(nil), s.f.machines...)
		rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
		s.call("heartbeat", machines)
		time.Sleep(heartbeat - 50*time.Millisecond + time.Duration(rand.Intn(100))*time.Millisecond)
	}
}

func (s *server) stopBeats() {
	s.mutex.Lock()
	s.silent = true
	s.mutex.Unlock()
}

func (s *server) taken() []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]run(nil), s.runs...)
}
