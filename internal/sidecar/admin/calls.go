package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"petrelhook/internal/sidecar/lifecycle"
)

// answer is the response to a call: one line of text.
type answer struct {
	status int
	allow  string // the method of the path if the call used another one; otherwise ""
	text   string
}

// calls holds the method and the handler of each path.
var calls = map[string]struct {
	method string
	handle func(*Server) answer
}{
	"/api/ready":    {http.MethodGet, ready},
	"/api/evacuate": {http.MethodPut, evacuate},
	"/api/rejoin":   {http.MethodPut, rejoin},
	"/api/counts":   {http.MethodGet, counts},
}

// handle carries out a complete call.
func handle(s *Server, method, path string) answer {
	c, ok := calls[path]
	switch {
	case !ok:
		return answer{status: http.StatusNotFound, text: fmt.Sprintf("no such call: %q; there are GET /api/ready, PUT /api/evacuate, PUT /api/rejoin and GET /api/counts", path)}
	case method != c.method:
		return answer{http.StatusMethodNotAllowed, c.method, fmt.Sprintf("%s is called with %s", path, c.method)}
	}
	return c.handle(s)
}

// stateAnswer returns an answer whose text is the name of the lifecycle state.
func stateAnswer(status int, s lifecycle.Status) answer {
	return answer{status: status, text: s.State().String()}
}

// ready answers whether this process can serve. A process whose clients were evacuated can.
func ready(s *Server) answer {
	status := s.lifecycle.Status()
	if !status.Ready() {
		return stateAnswer(http.StatusServiceUnavailable, status)
	}
	return stateAnswer(http.StatusOK, status)
}

// counts returns what the process has counted, as JSON on one line.
func counts(s *Server) answer {
	if s.Counts == nil {
		return answer{status: http.StatusNotFound, text: "nothing is counted"}
	}
	text, err := json.Marshal(s.Counts())
	if err != nil {
		return answer{status: http.StatusInternalServerError, text: err.Error()}
	}
	return answer{status: http.StatusOK, text: string(text)}
}

// evacuate makes the clients go to other sidecars. A stopping process cannot be evacuated.
func evacuate(server *Server) answer {
	status, _ := server.lifecycle.Apply(lifecycle.Evacuate)
	if !status.EvacuationRequested() || status.State() == lifecycle.Stopping {
		return stateAnswer(http.StatusConflict, status)
	}
	return stateAnswer(http.StatusOK, status)
}

// rejoin ends an evacuation.
func rejoin(server *Server) answer {
	switch status, _ := server.lifecycle.Apply(lifecycle.Rejoin); {
	case status.State() == lifecycle.Stopping:
		return stateAnswer(http.StatusConflict, status)
	case !status.Healthy(): // the call is accepted, and takes effect as soon as a server is known
		return stateAnswer(http.StatusServiceUnavailable, status)
	default:
		return stateAnswer(http.StatusOK, status)
	}
}
