// Package discovery is the platform's discovery service as a source of members: a watch that tells changes, and calls
// for the whole list, over HTTP. It decides neither when to call nor what to do about a failure. A message is taken
// whole or not at all.
//
// What discovery has and could tell must be here 6 s later, whatever failed before. The worst cases, where the module pauses
// for at most 0.5 s, or 1.5 s from the beginning of a call that failed soon, and an answer takes a:
//
//	a watch falls silent just after a line      2.5 s of silence + 0.5 s + a
//	a call is taken and not answered            3.1 s until it is given up + 0.5 s + a
//	a watch opens and says no first message     the same 3.1 s: they count to the first message
//	discovery is back after a long time         1.5 s + a, dials that hang included
//	another address by SIGHUP                   a: the call to the old one is given up
//
// so a may be 2.3 s in each of them, with 0.1 s to spare. TestNewsComeInTime plays them.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/message"
)

const (
	maxMessage = 4 << 20 // bytes of one message of discovery
	// silenceTimeout is after what silence a watch is taken for dead. An empty line comes every 2 s.
	silenceTimeout = 2500 * time.Millisecond
	dialTimeout    = time.Second             // of callTimeout
	callTimeout    = 3100 * time.Millisecond // until the first list; discovery answers late, but gives a call up after 3 s itself
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Source makes calls to the discovery service. Each call ends with one error or, for a fetch, one list.
type Source struct {
	// Opened is called when a watch is open; nil: nobody is told.
	OnWatchOpened func()

	addr           string
	base           string
	client         *http.Client
	silenceTimeout time.Duration
}

// New makes a source of the service at an address.
func New(addr string, dial Dial) *Source {
	return &Source{
		addr:           addr,
		base:           "http://" + addr + "/catalog/members",
		silenceTimeout: silenceTimeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				// The transport goes on to dial for whoever may come next; here nobody does, and the call owns it.
				if call, ok := ctx.Value(callKey{}).(context.Context); ok {
					defer context.AfterFunc(call, cancel)()
				}
				return dial(ctx, network, addr)
			},
			DisableKeepAlives:  true, // a reused connection would make the transport send a call twice
			DisableCompression: true,

			MaxResponseHeaderBytes: message.MaxHead,
		}},
	}
}

// callKey is the key of a call's context in that of its dial.
type callKey struct{}

// get begins a call and returns the open answer.
func (d *Source) get(ctx context.Context, query url.Values) (io.ReadCloser, error) {
	ctx = context.WithValue(ctx, callKey{}, ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// Name is the service's address.
func (d *Source) Name() string { return d.addr }

// Fetch asks for the whole list once.
func (d *Source) Fetch(ctx context.Context) (member.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := d.get(ctx, nil)
	if err != nil {
		return member.List{}, fmt.Errorf("fetch: %w", err)
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxMessage))
	if err != nil {
		return member.List{}, fmt.Errorf("fetch: %w", err)
	}
	return Parse(raw)
}

// Watch hands each message to tell until the watch ends, breaks, talks nonsense or falls silent. A message may take several
// lines; it is taken when its last brace has come.
func (d *Source) Watch(ctx context.Context, after uint64, tell func(member.List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(callTimeout, func() { cancel(errSilent) })
	defer silent.Stop()
	body, err := d.get(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(after, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()
	if d.OnWatchOpened != nil {
		d.OnWatchOpened()
	}
	alive := func() { silent.Reset(d.silenceTimeout) }
	stream := &watchStream{body: body, onEmptyLine: alive}
	for messages := json.NewDecoder(stream); ; {
		var raw json.RawMessage
		if err := messages.Decode(&raw); err == io.EOF {
			return errors.New("watch: ended")
		} else if err != nil {
			return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
		}
		stream.unparsed = 0
		c, err := Parse(raw)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		alive()
		tell(c)
	}
}

var (
	errSilent  = errors.New("silent")
	errTooLong = fmt.Errorf("a message over %d MiB", maxMessage>>20)
)

// watchStream is a watch as it comes: messages with empty lines between them. A part of a message is no sign of life: one that
// comes in drops would hide that nothing new arrives.
type watchStream struct {
	body        io.Reader
	unparsed    int    // bytes since the last whole message
	onEmptyLine func() // something came that is an empty line
}

func (s *watchStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if n > 0 && len(bytes.TrimSpace(p[:n])) == 0 {
		s.onEmptyLine()
	} else if s.unparsed += n; s.unparsed > maxMessage {
		return 0, errTooLong
	}
	return n, err
}
