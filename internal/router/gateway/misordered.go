package gateway

import "petrelhook/internal/router/placement"

// Misordered describes an event that does not follow the one before it in a response.
type Misordered struct {
	Request, Route, Server string
	Position               string // id of the last event sent; "" if it is not known
	Event                  string // id of the event
	Attempt                int    // the first is 1
	Err                    error  // an error of eventstream.Sequence
}

// recordMisordered counts and reports an event that the sequence did not accept.
func (g *Gateway) recordMisordered(req *request, server *placement.Server, event string, err error) {
	g.Counters.Misordered.Add(1)
	if g.options.OnMisordered == nil {
		return
	}
	position, _ := req.response.sequence.Position()
	g.options.OnMisordered(Misordered{Request: req.id, Route: req.route.Name, Server: server.ID, Position: position, Event: event,
		Attempt: req.trace.Attempts, Err: err})
}
