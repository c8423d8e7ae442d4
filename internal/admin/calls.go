package admin

import (
	"fmt"
	"net/http"

	"petrelhook/internal/lifecycle"
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
	do     func(*lifecycle.Machine) answer
}{
	"/api/ready":    {http.MethodGet, ready},
	"/api/evacuate": {http.MethodPut, evacuate},
	"/api/rejoin":   {http.MethodPut, rejoin},
}

// call carries out a call that is whole.
func call(m *lifecycle.Machine, method, path string) answer {
	c, ok := calls[path]
	switch {
	case !ok:
		return answer{status: http.StatusNotFound, text: fmt.Sprintf("no such call: %q; there are GET /api/ready, PUT /api/evacuate and PUT /api/rejoin", path)}
	case method != c.method:
		return answer{http.StatusMethodNotAllowed, c.method, fmt.Sprintf("%s is called with %s", path, c.method)}
	}
	return c.do(m)
}

// says is the answer that tells the state.
func says(status int, s lifecycle.Status) answer {
	return answer{status: status, text: s.State().String()}
}

func ready(m *lifecycle.Machine) answer {
	if s := m.Status(); !s.Ready() {
		return says(http.StatusServiceUnavailable, s)
	}
	return says(http.StatusOK, m.Status())
}

func evacuate(m *lifecycle.Machine) answer {
	s, _ := m.Tell(lifecycle.Evacuate)
	if !s.Out() || s.State() == lifecycle.Stopping {
		return says(http.StatusConflict, s)
	}
	return says(http.StatusOK, s)
}

func rejoin(m *lifecycle.Machine) answer {
	switch s, _ := m.Tell(lifecycle.Rejoin); {
	case s.State() == lifecycle.Stopping:
		return says(http.StatusConflict, s)
	case !s.Healthy(): // it was taken in, and holds as soon as a server is known
		return says(http.StatusServiceUnavailable, s)
	default:
		return says(http.StatusOK, s)
	}
}
