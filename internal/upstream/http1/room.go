package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"petrelhook/internal/message"
)

// room is the memory for answers over message.MaxBody, all of them together: a few hundred of the largest at once would be
// more than a sidecar has. The others are small enough for their number, which is bounded by connections, to bound them.
type room struct {
	most int64 // bytes; 0: no bound
	held atomic.Int64
}

// take holds n bytes until release is called, which may be more than once; ok is false where there is no room.
func (r *room) take(n int64) (release func(), ok bool) {
	if held := r.held.Add(n); r.most > 0 && held > r.most {
		r.held.Add(-n)
		return nil, false
	}
	return sync.OnceFunc(func() { r.held.Add(-n) }), true
}

var (
	errTooLarge = fmt.Errorf("an answer over %d KiB", message.MaxReply>>10)
	// errNoRoom is our own trouble: it says nothing of the server, but the request may have run.
	errNoRoom = errors.New("no room for so large an answer")
)

// body reads the body of an answer. A large one is held in room until release, which is nil for the others.
func (a *answers) body(resp *http.Response, r *room) (body []byte, release func(), err error) {
	size, chunked := resp.ContentLength, len(resp.TransferEncoding) > 0
	if size <= message.MaxBody {
		a.limit.N += message.MaxBody + message.MaxHead // chunks have heads too
		body, err = io.ReadAll(io.LimitReader(resp.Body, message.MaxBody+1))
		if err != nil || len(body) <= message.MaxBody || !chunked {
			return body, nil, err
		}
		size = message.MaxReply // how much more there is will only show
	}
	if size > message.MaxReply {
		return nil, nil, errTooLarge
	}
	release, ok := r.take(size)
	if !ok {
		return nil, nil, errNoRoom
	}
	a.limit.N += message.MaxReply + message.MaxHead
	if chunked {
		var more []byte
		more, err = io.ReadAll(io.LimitReader(resp.Body, message.MaxReply+1-int64(len(body))))
		if body = append(body, more...); err == nil && len(body) > message.MaxReply {
			err = errTooLarge
		}
	} else {
		body = make([]byte, size)
		_, err = io.ReadFull(resp.Body, body)
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}
