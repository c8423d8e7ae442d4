package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/routetable"
)

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// dropConnectionHeaders removes connectionHeaders and the fields that Connection names.
func dropConnectionHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// serverRequest is a client's request as a server gets it.
func serverRequest(r *http.Request, req *request, server *placement.Server) *backend.Request {
	header := r.Header.Clone()
	dropConnectionHeaders(header)
	for _, name := range []string{"X-Key", "X-Tenant-Id", "X-Expected-Instance", "Content-Length", "Expect", "Priority"} {
		header.Del(name)
	}
	header.Set("X-Expected-Instance", server.ID)
	left := max(1, time.Until(req.times.deadline).Milliseconds())
	header.Set("X-Request-Deadline", strconv.FormatInt(left, 10))
	if req.tenant != nil {
		header.Set("X-Tenant-Id", req.tenant.Name)
	}
	if req.route.Kind == routetable.Streaming {
		header.Set("Priority", strconv.Itoa(urgency(req)))
	}
	if req.response.lastEventID != "" {
		header.Set("Last-Event-Id", req.response.lastEventID)
	}
	return &backend.Request{ID: req.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: req.body}
}

const lowestUrgency = 9 // 0 is the highest

// urgency ranks by the tenant first, then by the route.
func urgency(req *request) int {
	const routesPerTenant = 3
	rank := min(req.route.Priority, routesPerTenant-1)
	if req.tenant != nil {
		rank += req.tenant.Priority * routesPerTenant
	}
	return max(0, min(lowestUrgency, rank))
}

// copyHeader copies the header of a server's answer to the client's. The router's own Connection field goes before the
// server's.
func copyHeader(w http.ResponseWriter, answer *backend.Response) {
	connection := w.Header().Get("Connection")
	dropConnectionHeaders(answer.Header)
	answer.Header.Del("Content-Length")
	to := w.Header()
	for name, values := range answer.Header {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // net/http does not guess it then
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
}
