package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/message"
)

// relayBufferSize is the largest single read of a response that is relayed.
const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBufferSize); return &b }}

// relayReply forwards a long response as it arrives. If the response is cut short, relayReply aborts the connection before the
// announced end, so that the client can detect the truncation.
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

// reject answers a request that cannot be served, and closes its connection. Nothing more is read from it: the rest of a body may
// never arrive, and what looks like another request may be part of that body.
func reject(w http.ResponseWriter, reason error, status int) {
	http.NewResponseController(w).SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	http.Error(w, reason.Error(), status)
}

// writeAnswer writes an answer. A buffered reply is written with its length; a streamed one is relayed as it arrives.
func writeAnswer(w http.ResponseWriter, answer front.Answer) {
	defer answer.Reply.Done()
	switch answer.Verdict {
	case front.Served:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = answer.Reply.Header[name] // a nil value keeps net/http from guessing the header
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
