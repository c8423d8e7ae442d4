package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/eventstream"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/routetable"
)

const (
	maxBufferedResponse = 16 << 20 // bytes of a response that is not a stream; a longer one is passed on as it arrives
	maxDrainBytes       = 64 << 10 // of a response that is discarded so that its connection can be reused
	unknownLength       = -1       // of a response, whose buffer grows with what arrives
)

// upstreamResponse is a server's response that is being relayed.
type upstreamResponse struct {
	*backend.Response
	server   *placement.Server
	watchdog *stallWatchdog
	sentAt   time.Time // start of the attempt

	outOfMemory bool // the response was broken off because this router has no memory left for an event
}

// relay sends a server's response to the client. ctx is the context of the request, not of the attempt.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *request, upstream *upstreamResponse) outcome {
	isStream := req.route.Kind == routetable.Streaming && upstream.Status == http.StatusOK &&
		strings.HasPrefix(upstream.Header.Get("Content-Type"), "text/event-stream")
	if isStream {
		return g.relayStream(ctx, w, req, upstream)
	}
	if req.response.headerSent {
		discardBody(upstream.Response)
		return brokenMidStream
	}
	return g.relayComplete(ctx, w, req, upstream.Response)
}

// relayComplete responds only once the complete body has been read, so that a truncated response never looks complete and the request
// may still be retried. A response for which no memory is left is passed on as it arrives: its server may have run the request, which
// therefore must not be rejected.
func (g *Gateway) relayComplete(ctx context.Context, w http.ResponseWriter, req *request, resp *backend.Response) outcome {
	body, err := clientlimit.ReadBody(ctx, io.LimitReader(resp, maxBufferedResponse), unknownLength, maxBufferedResponse, req.memory)
	if errors.Is(err, clientlimit.ErrNoMemory) || len(body) == maxBufferedResponse {
		return req.relayLarge(ctx, w, resp, body)
	}
	if err != nil {
		if ctx.Err() != nil {
			return abandoned
		}
		return mayHaveRun
	}
	req.recordFirstByte(resp.DialTime)
	copyHeader(w, resp)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body) // a client that has disconnected does not change the outcome of the attempt
	return completed
}

// relayLarge passes on a response of which a part has been read. The connection to the client is aborted if the rest does not come: the
// response does not look complete then, because it has a length or is sent in chunks. A client that can have neither gets no part of it.
func (r *request) relayLarge(ctx context.Context, w http.ResponseWriter, resp *backend.Response, start []byte) outcome {
	length := resp.Header.Get("Content-Length")
	if length == "" && !r.acceptsChunks {
		return mayHaveRun
	}
	r.recordFirstByte(resp.DialTime)
	copyHeader(w, resp)
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(resp.Status)
	r.response.headerSent = true
	if _, err := w.Write(start); err != nil {
		return abandoned // the client has disconnected
	}
	source := &errorRecorder{source: resp}
	if _, err := io.Copy(w, source); err == nil {
		return completed
	}
	if source.err == nil || ctx.Err() != nil {
		return abandoned // the client has disconnected, or its deadline has passed
	}
	return brokenMidStream
}

// errorRecorder is a reader that tells an error of its source from one of the writer that its content is copied to.
type errorRecorder struct {
	source io.Reader
	err    error // of the source; nil at its end
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // the plain io.EOF alone is the end of a complete answer; one that wraps it was cut off
		r.err = err
	}
	return n, err
}

// relayStream forwards complete events as they arrive, as long as each follows the one before it: the attempt ends as broken at one that does
// not. The header is sent with the first event: if the server fails before that, the client has no part of a response, and the request can
// be retried at another server.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, req *request, upstream *upstreamResponse) outcome {
	result := g.relayEvents(ctx, w, req, upstream)
	if result == brokenMidStream {
		_ = http.NewResponseController(w).Flush() // of the events before; a client that has disconnected changes nothing
	}
	return result
}

// relayEvents does what relayStream says, and may leave complete events unflushed.
func (g *Gateway) relayEvents(ctx context.Context, w http.ResponseWriter, req *request, upstream *upstreamResponse) outcome {
	controller := http.NewResponseController(w)
	events := eventstream.NewReader(upstream.Response)
	sequence := &req.response.sequence
	if req.response.headerSent {
		sequence.Continue()
	}
	events.Reserve = func(bytes int64) bool { return req.memory.TryGrow(bytes, bytes) }
	lastEvent := time.Now()
	for first := true; ; first = false {
		event, err := events.Next()
		if err == io.EOF && first && upstream.EndsWithConnection { //nolint:errorlint // the plain io.EOF alone is an end
			return req.brokenOff() // a server that ends before its first event has crashed
		}
		if err != nil {
			upstream.outOfMemory = errors.Is(err, eventstream.ErrMemory)
			return streamOutcome(ctx, w, req, upstream, err)
		}
		if err := sequence.Accept(event); err != nil {
			g.recordMisordered(req, upstream.server, event.ID, err)
			return req.brokenOff()
		}
		if first {
			g.recordPrefill(req, upstream)
		}
		if !req.response.headerSent {
			req.sendHeader(ctx, w, upstream.Response)
			req.recordFirstByte(upstream.DialTime)
		} else {
			req.trace.MaxGap = max(req.trace.MaxGap, time.Since(lastEvent))
		}
		lastEvent = time.Now()
		upstream.watchdog.eventReceived(sequence.CanContinue())
		if _, err := w.Write(event.Bytes); err != nil {
			return abandoned // the client has disconnected
		}
		if !events.Buffered() && controller.Flush() != nil {
			return abandoned
		}
	}
}

// sendHeader sends the header of a stream to the client. To a client without chunks the end of the connection is the end of the stream.
func (r *request) sendHeader(ctx context.Context, w http.ResponseWriter, resp *backend.Response) {
	if !r.acceptsChunks {
		r.response.markComplete = clientlimit.Unframed(ctx)
	}
	copyHeader(w, resp)
	w.WriteHeader(resp.Status)
	r.response.headerSent, r.response.isStream = true, true
}

// streamOutcome returns the outcome of a stream whose reader returned err. Only an unwrapped io.EOF marks the end of a complete
// stream; any other error means that it was truncated.
func streamOutcome(ctx context.Context, w http.ResponseWriter, req *request, upstream *upstreamResponse, err error) outcome {
	switch {
	case err == io.EOF: //nolint:errorlint // the plain io.EOF alone is the end of a complete answer; one that wraps it was cut off
		if !req.response.headerSent {
			req.sendHeader(ctx, w, upstream.Response)
		}
		if req.response.markComplete != nil {
			req.response.markComplete()
		}
		return completed
	case ctx.Err() != nil:
		return abandoned
	}
	return req.brokenOff()
}

// brokenOff returns the outcome of an attempt whose server has sent a part of a response.
func (r *request) brokenOff() outcome {
	if r.response.headerSent {
		return brokenMidStream
	}
	return mayHaveRun
}

// discardBody reads the rest of a short response, so that its connection can be reused. It ignores a read error: Response.Close
// then closes the connection, since the body was not read to its end.
func discardBody(resp *backend.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrainBytes))
}
