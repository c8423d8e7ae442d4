package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// recordedServer is a model server that records when it ran which request. Like the operators' servers it answers 421 to a
// request that is meant for another instance.
type recordedServer struct {
	*httptest.Server
	f  *fleet
	id string

	mutex    sync.Mutex
	sequence int
	runs     []serverRun
}

// serverRun is a request that a server ran.
type serverRun struct {
	request string // X-Request-Id
	at      time.Time
}

func newRecordedServer(t *testing.T, f *fleet, id string) *recordedServer {
	t.Helper()
	s := &recordedServer{f: f, id: id}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

// ServeHTTP runs a request.
func (s *recordedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if meantFor := r.Header.Get("X-Expected-Instance"); meantFor != "" && meantFor != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	s.runs = append(s.runs, serverRun{request: r.Header.Get("X-Request-Id"), at: time.Now()})
	s.mutex.Unlock()
	io.WriteString(w, s.id)
}

// taken returns the requests that the server has run so far.
func (s *recordedServer) taken() []serverRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]serverRun(nil), s.runs...)
}

// heartbeat returns the body of the server's next heartbeat.
func (s *recordedServer) heartbeat(state string) (body string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"zone-0","Slots":4,"State":%q,"Sequence":%d}`,
		s.Listener.Addr().String(), state, s.sequence)
}

// send makes a call of the server to a machine and returns its status. The call is heartbeat or deregister.
func (s *recordedServer) send(m *machine, call, body string) (status int) {
	status, _ = s.f.call(http.MethodPost, "http://"+s.f.address(m.ip, controlPort)+"/-/instances/"+s.id+"/"+call, body)
	return status
}
