// Package discovery implements member.Source with the platform's discovery service: a watch that delivers changes, and calls for
// the complete list, over HTTP. It decides neither when to call nor how to handle a failure. A message is accepted completely or
// not at all. Watch and Fetch may be called concurrently.
//
// Once discovery has a change and can deliver it, the change must arrive within 6 s, whatever failed before. The table lists the
// worst cases. The decision module waits at most 0.5 s before the next call, or 1.5 s from the start of a call that failed early;
// a is the time that discovery takes to answer a call:
//
//	a watch falls silent just after a line       2.5 s of silence + 0.5 s + a
//	a call is accepted and not answered          3.1 s until it is cancelled + 0.5 s + a
//	a watch opens and sends no first message     the same 3.1 s, because that limit ends with the first message
//	discovery is back after a long time          1.5 s + a, including dials that hang
//	SIGHUP sets another address                  a, because the call to the old address is cancelled
//
// So a may be up to 2.3 s in each case, with 0.1 s to spare. TestChangesArriveInTime covers these cases.
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
	// maxMessage is the largest message of discovery, in bytes.
	maxMessage = 4 << 20
	// silenceTimeout is how long a watch may receive nothing before it counts as broken. Discovery sends an empty line every 2 s.
	silenceTimeout = 2500 * time.Millisecond
	// dialTimeout limits the opening of a connection; it is part of callTimeout.
	dialTimeout = time.Second
	// callTimeout limits a call until its first list. Discovery may answer late, but cancels a call itself after 3 s.
	callTimeout = 3100 * time.Millisecond
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Source calls the discovery service. It implements member.Source.
type Source struct {
	// OnWatchOpened is called, in the goroutine of Watch, when a watch is open. It may be nil, and is set before the first call.
	OnWatchOpened func()

	addr           string
	membersURL     string
	client         *http.Client
	silenceTimeout time.Duration
}

// New returns a source for the discovery service at an address. It opens connections with dial.
func New(addr string, dial Dial) *Source {
	return &Source{
		addr:           addr,
		membersURL:     "http://" + addr + "/catalog/members",
		silenceTimeout: silenceTimeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:        dialForCall(dial),
			DisableKeepAlives:  true, // on a reused connection the transport might send a call twice
			DisableCompression: true,

			MaxResponseHeaderBytes: message.MaxHead,
		}},
	}
}

// dialForCall returns a dial function that is cancelled with the call that it is for. By default the transport continues to dial,
// so that the connection can be used for the next call; here each call has its own connection.
func dialForCall(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if call, ok := ctx.Value(callKey{}).(context.Context); ok {
			defer context.AfterFunc(call, cancel)()
		}
		return dial(ctx, network, addr)
	}
}

// callKey is the key under which the context of a dial holds the context of its call.
type callKey struct{}

// get sends a request and returns the body of the response, which the caller closes.
func (s *Source) get(ctx context.Context, query url.Values) (io.ReadCloser, error) {
	ctx = context.WithValue(ctx, callKey{}, ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.membersURL+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // only read from, so no data can be lost
		return nil, &StatusError{resp.Status}
	}
	return resp.Body, nil
}

// StatusError is the error of a call that discovery answered with another status than 200 OK.
type StatusError struct{ Status string } // for example "503 Service Unavailable"

func (e *StatusError) Error() string { return "discovery responded with status " + e.Status }

// Name implements member.Source. It returns the address of the service.
func (s *Source) Name() string { return s.addr }

// Fetch implements member.Source.
func (s *Source) Fetch(ctx context.Context) (member.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.get(ctx, nil)
	if err != nil {
		return member.List{}, fmt.Errorf("fetch: %w", err)
	}
	defer func() { _ = body.Close() }() // only read from
	raw, err := io.ReadAll(io.LimitReader(body, maxMessage))
	if err != nil {
		return member.List{}, fmt.Errorf("fetch: %w", err)
	}
	return Parse(raw)
}

// Watch implements member.Source. It returns when the stream ends, breaks, is malformed or falls silent. A message may span
// several lines; it is delivered when its closing brace has arrived.
func (s *Source) Watch(ctx context.Context, after uint64, onList func(member.List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(callTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	body, err := s.get(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(after, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer func() { _ = body.Close() }() // only read from
	if s.OnWatchOpened != nil {
		s.OnWatchOpened()
	}
	resetSilence := func() { silence.Reset(s.silenceTimeout) }
	stream := &watchStream{body: body, onEmptyLine: resetSilence}
	for messages := json.NewDecoder(stream); ; {
		var raw json.RawMessage
		if err := messages.Decode(&raw); err == io.EOF { //nolint:errorlint // a wrapped one is a list that was cut short
			return errWatchEnded
		} else if err != nil {
			return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
		}
		stream.unparsed = 0
		list, err := Parse(raw)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		resetSilence()
		onList(list)
	}
}

var (
	errWatchEnded = errors.New("watch: discovery ended the stream")
	errSilent     = errors.New("received nothing in time")
	errTooLong    = fmt.Errorf("message exceeds %d MiB", maxMessage>>20)
)

// watchStream is the body of a watch: messages with empty lines between them. Part of a message does not reset the silence timer,
// because a message that arrives byte by byte would hide that no list arrives.
type watchStream struct {
	body        io.Reader
	unparsed    int    // number of bytes since the last complete message
	onEmptyLine func() // called when a read returns only white space
}

// Read reads from the body. It fails if a message is too long.
func (s *watchStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if n > 0 && len(bytes.TrimSpace(p[:n])) == 0 {
		s.onEmptyLine()
	} else if s.unparsed += n; s.unparsed > maxMessage {
		return 0, errTooLong
	}
	return n, err
}
