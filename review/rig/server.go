package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots = 6
	serverQueue = 24
)

// arrival is a request that a server has run.
type arrival struct {
	id     string
	server string
	at     time.Time
}

// server is a sound server of a service: it runs what is meant for it and reports itself in heartbeats.
type server struct {
	fleet                     *fleet
	id, service, zone, target string
	work                      time.Duration
	http                      *http.Server
	slots                     chan struct{}
	waiting                   atomic.Int64
	running                   atomic.Int64

	mutex    sync.Mutex
	sequence int
	next     int // index of the sidecar that it calls
	arrivals []arrival
	stop     chan struct{}
	once     sync.Once
}

// newServer starts a server on a free port of a loopback address and its heartbeats after the given delay.
func newServer(f *fleet, id, service, zone string, work, firstBeat time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.78.1.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, service: service, zone: zone, target: listener.Addr().String(), work: work,
		slots: make(chan struct{}, serverSlots), stop: make(chan struct{}), next: rand.IntN(len(f.sidecars))}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	f.record.add("server %s of %s in %s starts at %s", id, service, zone, s.target)
	f.group.Go(func() { s.beat(firstBeat) })
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), serverSlots))
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > serverQueue {
		s.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	now := time.Now()
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival{id, s.id, now})
	s.mutex.Unlock()
	s.fleet.record.addAt(now, "run %s at %s", id, s.id)
	time.Sleep(s.work)
	s.running.Add(-1)
	<-s.slots
	w.Header().Set("X-Response-Signature", s.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// beat sends a heartbeat about every HeartbeatMs until the server stops reporting.
func (s *server) beat(first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.fleet.stopped:
			return
		case <-timer.C:
			s.call("heartbeat", s.body("ready"))
			timer.Reset(heartbeat)
		}
	}
}

// body returns the JSON body of the server's next call.
func (s *server) body(state string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Generation":"v1","Slots":%d,"State":%q,"ColdRemainingMs":0,"Sequence":%d}`,
		s.service, s.target, s.zone, serverSlots, state, s.sequence)
}

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a heartbeat or the like to the sidecars in turn until one acknowledges it, and returns when it did.
func (s *server) call(what, body string) (acknowledged time.Time, by string, ok bool) {
	for range 4 * len(s.fleet.sidecars) {
		to := s.fleet.sidecars[s.next%len(s.fleet.sidecars)]
		url := fmt.Sprintf("http://%s/-/instances/%s/%s", s.fleet.address(to.ip, portControl), s.id, what)
		answer, err := callClient.Post(url, "application/json", strings.NewReader(body))
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode/100 == 2 {
				now := time.Now()
				s.fleet.record.addAt(now, "%s of %s acknowledged by %s: %s", what, s.id, to.name, body)
				return now, to.name, true
			}
		}
		s.next++
		select {
		case <-s.fleet.stopped:
			return time.Time{}, "", false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return time.Time{}, "", false
}

// deregister says that the server leaves, without having said that it drains. It serves on until end is called.
func (s *server) deregister() (acknowledged time.Time, by string, ok bool) {
	s.once.Do(func() { close(s.stop) })
	return s.call("deregister", s.body("draining"))
}

func (s *server) end() {
	s.once.Do(func() { close(s.stop) })
	s.fleet.record.add("server %s ends", s.id)
	_ = s.http.Close()
}

func (s *server) taken() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
