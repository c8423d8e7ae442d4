package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/eventstream"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/routetable"
)

const maxAnswer = 16 << 20

// stream is an answer on its way from a server.
type stream struct {
	answer *backend.Response
	server *placement.Server
	watch  *stallWatch
	sent   time.Time
}

// relay passes an answer on to the client.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *request, from *stream) outcome {
	answer := from.answer
	streams := req.route.Kind == routetable.Streaming && answer.Status == http.StatusOK &&
		strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if streams {
		return g.relayStream(ctx, w, req, from)
	}
	if req.headSent {
		drain(answer)
		return cutMidStream
	}
	return g.relayWhole(ctx, w, req, answer)
}

// relayWhole answers only once the whole body is there, so that nothing cut off looks complete.
func (g *Gateway) relayWhole(ctx context.Context, w http.ResponseWriter, req *request, answer *backend.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil || len(body) == maxAnswer {
		if ctx.Err() != nil {
			return expired
		}
		return mayHaveRun
	}
	req.firstPart(answer.DialTime)
	g.head(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	w.Write(body)
	return answered
}

// relayStream passes whole events on as they come. The head goes with the first, so that a server that fails before it
// leaves the client without any part of an answer.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, req *request, from *stream) outcome {
	control := http.NewResponseController(w)
	answer := from.answer
	events := eventstream.NewReader(answer)
	last := time.Now()
	for first := true; ; first = false {
		event, err := events.Next()
		if first && err == nil {
			g.promptRead(req, from)
		}
		if err == io.EOF {
			if !req.headSent {
				g.head(w, answer)
				w.WriteHeader(answer.Status)
			}
			return answered
		}
		if err != nil {
			return broken(ctx, req)
		}
		if !req.headSent {
			g.head(w, answer)
			w.WriteHeader(answer.Status)
			req.headSent = true
			req.firstPart(answer.DialTime)
		} else {
			req.trace.MaxGap = max(req.trace.MaxGap, time.Since(last))
		}
		last = time.Now()
		from.watch.event()
		if _, err := w.Write(event); err != nil {
			return expired // the client is gone
		}
		if id := events.LastID(); id != "" {
			req.resume = id
		}
		if !events.Buffered() && control.Flush() != nil {
			return expired
		}
	}
}

func broken(ctx context.Context, req *request) outcome {
	switch {
	case ctx.Err() != nil:
		return expired
	case req.headSent:
		return cutMidStream
	}
	return mayHaveRun
}

// head copies the head of a server's answer.
func (g *Gateway) head(w http.ResponseWriter, answer *backend.Response) {
	ends := w.Header().Get("Connection")
	dropConnectionHeaders(answer.Header)
	answer.Header.Del("Content-Length")
	to := w.Header()
	for name, values := range answer.Header {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // it is not guessed
	}
	if ends != "" {
		to.Set("Connection", ends)
	}
}

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(answer *backend.Response) { io.Copy(io.Discard, io.LimitReader(answer, 64<<10)) }
