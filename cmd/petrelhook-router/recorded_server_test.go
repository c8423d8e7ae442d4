package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
)

// recordedServer is a model server that records when it ran which request, and answers with its ID. Like the operators' servers it answers 421 to a
// request that is meant for another instance.
type recordedServer struct {
	*httptest.Server
	f       *fleet
	id      string
	address string
	stream  func(http.ResponseWriter) // answers requests below /stream/; set before the first one

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
	s.address = s.Listener.Addr().String()
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
	if strings.HasPrefix(r.URL.Path, "/stream/") && s.stream != nil {
		s.stream(w)
		return
	}
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
		s.address, state, s.sequence)
}

// send makes a call of the server to a machine and returns its status. The call is heartbeat or deregister.
func (s *recordedServer) send(m *machine, call, body string) (status int) {
	status, _ = s.f.call(http.MethodPost, "http://"+s.f.address(m.ip, controlPort)+"/-/instances/"+s.id+"/"+call, body)
	return status
}

// sendHeartbeat sends the server's next heartbeat to a machine and returns the status of the call.
func (s *recordedServer) sendHeartbeat(m *machine, state string) (status int) {
	return s.send(m, "heartbeat", s.heartbeat(state))
}

// waitHeartbeat sends heartbeats to a machine until one is accepted.
func (s *recordedServer) waitHeartbeat(m *machine, state, what string) {
	s.f.t.Helper()
	peertest.Eventually(s.f.t, what, func() bool { return s.sendHeartbeat(m, state) == http.StatusOK })
}

// waitUsed sends heartbeats of the server to each machine until the machine sends it a request.
func (s *recordedServer) waitUsed(machines []*machine) {
	s.f.t.Helper()
	for _, m := range machines {
		peertest.Eventually(s.f.t, m.ip+" uses "+s.id, func() bool {
			s.sendHeartbeat(m, "ready")
			code, text := s.f.request(m, "/x/1")
			return code == http.StatusOK && text == s.id
		})
	}
}
