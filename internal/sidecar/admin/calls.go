package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"petrelhook/internal/sidecar/lifecycle"
)

// answer is what a call gets.
type answer struct {
	status int
	allow  string // the method that there is, where another was used
	text   string
}

// calls are the paths, each with its method and what it does.
var calls = map[string]struct {
	method string
	do     func(*Server) answer
}{
	"/api/ready":    {http.MethodGet, ready},
	"/api/evacuate": {http.MethodPut, evacuate},
	"/api/rejoin":   {http.MethodPut, rejoin},
	"/api/counts":   {http.MethodGet, counts},
}

// call carries out a call that is whole.
func call(s *Server, method, path string) answer {
	c, ok := calls[path]
	switch {
	case !ok:
		return answer{status: http.StatusNotFound, text: fmt.Sprintf("no such call: %q; there are GET /api/ready, PUT /api/evacuate, PUT /api/rejoin and GET /api/counts", path)}
	case method != c.method:
		return answer{http.StatusMethodNotAllowed, c.method, fmt.Sprintf("%s is called with %s", path, c.method)}
	}
	return c.do(s)
}

// says is the answer that tells the state.
func says(status int, s lifecycle.Status) answer {
	return answer{status: status, text: s.State().String()}
}

func ready(s *Server) answer {
	now := s.machine.Status()
	if !now.Ready() {
		return says(http.StatusServiceUnavailable, now)
	}
	return says(http.StatusOK, now)
}

// counts is what the process has counted, in JSON on one line.
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

func evacuate(a *Server) answer {
	s, _ := a.machine.Apply(lifecycle.Evacuate)
	if !s.EvacuationRequested() || s.State() == lifecycle.Stopping {
		return says(http.StatusConflict, s)
	}
	return says(http.StatusOK, s)
}

func rejoin(a *Server) answer {
	switch s, _ := a.machine.Apply(lifecycle.Rejoin); {
	case s.State() == lifecycle.Stopping:
		return says(http.StatusConflict, s)
	case !s.Healthy(): // it was taken in, and holds as soon as a server is known
		return says(http.StatusServiceUnavailable, s)
	default:
		return says(http.StatusOK, s)
	}
}
