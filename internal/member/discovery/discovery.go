// Package discovery is the platform's discovery service as a source of members: a watch that tells changes, and calls
// for the whole list, over HTTP. It decides neither when to call nor what to do about a failure. A message is taken
// whole or not at all.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"petrelhook/internal/member"
	"petrelhook/internal/message"
)

const (
	maxMessage = 4 << 20 // bytes of one message of discovery
	// An empty line comes every 2 s. A watch that is silent for longer than this is dead: what it should have
	// told counts as told after 6 s, and the next call takes its time.
	watchSilence = 3500 * time.Millisecond
	dialTime     = time.Second
	callTimeout  = 4 * time.Second // discovery answers late, but gives a call up after 3 s itself
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Source makes calls to the discovery service. Each call ends with one error or, for a fetch, one list.
type Source struct {
	// Opened is called when a watch is open; nil: nobody is told.
	Opened func()

	addr    string
	base    string
	client  *http.Client
	silence time.Duration
}

// New makes a source of the service at an address.
func New(addr string, dial Dial) *Source {
	return &Source{
		addr:    addr,
		base:    "http://" + addr + "/catalog/members",
		silence: watchSilence,
		client: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTime)
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

// Watch hands each message to tell until the watch ends, breaks, talks nonsense or falls silent.
func (d *Source) Watch(ctx context.Context, after uint64, tell func(member.List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(callTimeout, func() { cancel(errors.New("silent")) })
	defer silent.Stop()
	body, err := d.get(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(after, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()
	if d.Opened != nil {
		d.Opened()
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1<<16), maxMessage)
	for lines.Scan() {
		silent.Reset(d.silence)
		if len(lines.Bytes()) == 0 {
			continue
		}
		c, err := Parse(lines.Bytes())
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		tell(c)
	}
	if err := errors.Join(lines.Err(), context.Cause(ctx)); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	return errors.New("watch: ended")
}
