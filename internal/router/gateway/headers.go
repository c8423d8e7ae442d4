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

// lastEventIDHeader names the event after which a stream is to go on.
const lastEventIDHeader = "Last-Event-Id"

// connectionHeaders are the hop-by-hop headers, which concern a single connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// dropConnectionHeaders removes connectionHeaders and the fields that the Connection header names.
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

// serverRequest returns the request that is sent to a server: the client's, with the router's own headers.
func serverRequest(r *http.Request, req *request, server *placement.Server) *backend.Request {
	header := r.Header.Clone()
	dropConnectionHeaders(header)
	for _, name := range []string{"X-Key", "X-Tenant-Id", "X-Expected-Instance", "Content-Length", "Expect", "Priority"} {
		header.Del(name)
	}
	header.Set("X-Expected-Instance", server.ID)
	remainingMs := max(1, time.Until(req.times.deadline).Milliseconds())
	header.Set("X-Request-Deadline", strconv.FormatInt(remainingMs, 10))
	if req.tenant != nil {
		header.Set("X-Tenant-Id", req.tenant.Name)
	}
	if req.route.Kind == routetable.Streaming {
		header.Set("Priority", strconv.Itoa(urgency(req)))
	}
	if position, ok := req.response.sequence.Position(); ok && req.response.headerSent {
		header.Set(lastEventIDHeader, position)
	}
	return &backend.Request{ID: req.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: req.body}
}

const lowestUrgency = 9 // 0 is the highest

// urgency returns the value of the Priority header. It ranks requests by the priority of the tenant, then by that of the route.
func urgency(req *request) int {
	const routePriorities = 3
	rank := min(req.route.Priority, routePriorities-1)
	if req.tenant != nil {
		rank += req.tenant.Priority * routePriorities
	}
	return max(0, min(lowestUrgency, rank))
}

// copyHeader copies the header of a server's response to the response for the client. A Connection field that the router has set
// is kept; the server's is dropped.
func copyHeader(w http.ResponseWriter, resp *backend.Response) {
	ownConnection := w.Header().Get("Connection")
	dropConnectionHeaders(resp.Header)
	resp.Header.Del("Content-Length")
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // a nil entry keeps net/http from guessing the type
	}
	if ownConnection != "" {
		header.Set("Connection", ownConnection)
	}
}
