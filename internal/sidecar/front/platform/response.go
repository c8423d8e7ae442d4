package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/message"
)

// relayBufferSize is the most that is read at once of a response that is relayed.
const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBufferSize); return &b }}

// relayReply passes a long response on as it comes. Where it breaks off it ends the connection before the announced end, so that the client
// can tell.
func relayReply(w http.ResponseWriter, reply *message.Reply) {
	control := http.NewResponseController(w)
	if reply.Size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Size, 10))
	}
	buffer := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	for chunk, err := reply.Body, error(nil); ; {
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, failed := w.Write(chunk); failed != nil {
			panic(http.ErrAbortHandler)
		}
		if failed := control.Flush(); failed != nil {
			panic(http.ErrAbortHandler)
		}
		if isEnd(err) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var n int
		n, err = reply.Remainder.Read(*buffer)
		chunk = (*buffer)[:n]
	}
}

// reject answers a request that cannot be served, and ends its connection. What else comes on it is not read: neither the rest of a body,
// which may never come, nor a further request, which may be a part of that body.
func reject(w http.ResponseWriter, reason error, status int) {
	http.NewResponseController(w).SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	http.Error(w, reason.Error(), status)
}

// writeAnswer writes an answer: complete and with its length, or relayed as it comes.
func writeAnswer(w http.ResponseWriter, answer front.Answer) {
	defer answer.Reply.Done()
	switch answer.Verdict {
	case front.Served:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = answer.Reply.Header[name] // nil where there is none, which keeps net/http from guessing one
		}
		if answer.Reply.Remainder != nil {
			relayReply(w, &answer.Reply)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Reply.Body)))
		w.Write(answer.Reply.Body)
	case front.Refused:
		if answer.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
