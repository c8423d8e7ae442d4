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

const (
	maxAnswer = 16 << 20 // bytes, of one that is no stream
	maxDrain  = 64 << 10 // bytes
)

// serverAnswer is an answer of a server that is being relayed.
type serverAnswer struct {
	*backend.Response
	server *placement.Server
	watch  *stallWatch
	sentAt time.Time // when the attempt began
}

// relay passes an answer on to the client. The context is the request's.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *request, from *serverAnswer) outcome {
	streams := req.route.Kind == routetable.Streaming && from.Status == http.StatusOK &&
		strings.HasPrefix(from.Header.Get("Content-Type"), "text/event-stream")
	if streams {
		return g.relayStream(ctx, w, req, from)
	}
	if req.response.headerSent {
		drainAnswer(from.Response)
		return brokenMidStream
	}
	return g.relayComplete(ctx, w, req, from.Response)
}

// relayComplete answers only once the complete body is there, so that nothing that was cut off looks complete.
func (g *Gateway) relayComplete(ctx context.Context, w http.ResponseWriter, req *request, answer *backend.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil || len(body) == maxAnswer {
		if ctx.Err() != nil {
			return expired
		}
		return mayHaveRun
	}
	req.recordFirstByte(answer.DialTime)
	copyHeader(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(body) // the client may be gone, which changes nothing for the server
	return answered
}

// relayStream passes complete events on as they come. The header goes with the first, so that a server that fails
// before it leaves the client without any part of an answer, and another one can be tried.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, req *request, from *serverAnswer) outcome {
	control := http.NewResponseController(w)
	events := eventstream.NewReader(from.Response)
	lastEvent := time.Now()
	for first := true; ; first = false {
		event, err := events.Next()
		if err != nil {
			return streamEnded(ctx, w, req, from, err)
		}
		if first {
			g.prefillDone(req, from)
		}
		if !req.response.headerSent {
			req.sendHeader(w, from.Response)
			req.recordFirstByte(from.DialTime)
		} else {
			req.trace.MaxGap = max(req.trace.MaxGap, time.Since(lastEvent))
		}
		lastEvent = time.Now()
		from.watch.event()
		if _, err := w.Write(event); err != nil {
			return expired // the client is gone
		}
		if id := events.LastID(); id != "" {
			req.response.lastEventID = id
		}
		if !events.Buffered() && control.Flush() != nil {
			return expired
		}
	}
}

// sendHeader sends the header of a stream to the client.
func (r *request) sendHeader(w http.ResponseWriter, answer *backend.Response) {
	copyHeader(w, answer)
	w.WriteHeader(answer.Status)
	r.response.headerSent = true
}

// streamEnded returns the outcome of a stream that ended with an error: the plain io.EOF after the last event, otherwise
// it was cut off.
func streamEnded(ctx context.Context, w http.ResponseWriter, req *request, from *serverAnswer, err error) outcome {
	switch {
	case err == io.EOF: //nolint:errorlint // the plain io.EOF alone is the end of a complete answer; one that wraps it was cut off
		if !req.response.headerSent {
			req.sendHeader(w, from.Response)
		}
		return answered
	case ctx.Err() != nil:
		return expired
	case req.response.headerSent:
		return brokenMidStream
	}
	return mayHaveRun
}

// drainAnswer reads the rest of a short answer, so that its connection can be kept. An error shows when the answer is
// closed.
func drainAnswer(answer *backend.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDrain))
}
