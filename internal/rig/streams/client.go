package streams

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// clientContinues is set in a request by which the client itself continues a stream: a server that leaves events out then cannot be told from
// a proper one by a router, which does not know how the ids rise.
const clientContinues = "X-Client-Continues"

// Route is a route for streams.
type Route struct {
	Host, Prefix string
	MayContinue  bool
}

// Client reads streams, one after the other, and continues those that break off. Create it with its fields.
type Client struct {
	Name     string
	Random   *rand.Rand
	Routes   []Route
	Address  func() string // of a router, for the next request
	Deadline time.Duration // of a request

	transport http.Transport
	requests  int
}

// Result is what became of one stream.
type Result int

// The results.
const (
	Complete Result = iota
	Broken          // and not continued
	Rejected        // nothing of it was served
	Left            // the client did not want more
)

// Drawn by a client.
const (
	mostEvents   = 40
	mostAttempts = 4
	slowEvent    = 5 * time.Millisecond // that a slow reader takes for each event
)

// ReadStream reads one stream. The error says what the client saw that no proper stream is.
func (c *Client) ReadStream(ctx context.Context) (Result, error) {
	c.requests++
	route := c.Routes[c.Random.IntN(len(c.Routes))]
	checker := &Checker{Subject: fmt.Sprintf("%s.%d", c.Name, c.requests), Total: 1 + c.Random.IntN(mostEvents), MayContinue: route.MayContinue}
	a := attempt{client: c, checker: checker, route: route, leaveAfter: mostEvents + 1, result: Rejected}
	if c.Random.IntN(rare) == 0 {
		a.leaveAfter = c.Random.IntN(checker.Total)
	}
	a.slow = c.Random.IntN(rare) == 0
	for ctx.Err() == nil && a.number < mostAttempts {
		ended, err := a.play(ctx)
		if err != nil {
			return Broken, err
		}
		if ended {
			break
		}
	}
	return a.result, nil
}

// attempt is one request of a client after the other, for the same stream.
type attempt struct {
	client     *Client
	checker    *Checker
	route      Route
	leaveAfter int
	slow       bool
	number     int
	result     Result
	numbered   bool // the last event had an id, after which the client can continue
}

// play sends a request and reads its response. ended is false where the client may try again.
func (a *attempt) play(ctx context.Context) (ended bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*a.client.Deadline)
	defer cancel()
	a.number++
	a.result = Rejected
	if a.checker.Last() > 0 {
		a.result = Broken
	}
	response := a.send(ctx)
	if response == nil {
		return false, nil // the router may be down
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a.checker.Last() == 0 && response.StatusCode != http.StatusServiceUnavailable, nil
	}
	complete, err := a.read(response.Body)
	if err == nil && complete && a.result != Left {
		err = a.checker.End()
	}
	switch {
	case err != nil:
		return true, fmt.Errorf("%w; attempt %d, %s", err, a.number, response.Proto)
	case a.result == Left:
		return true, nil
	case complete:
		a.result = Complete
		return true, nil
	case a.checker.Last() > 0:
		a.result = Broken
	}
	return a.checker.Last() > 0 && !(a.route.MayContinue && a.numbered), nil
}

// send sends a request, by HTTP/1.0 now and then. It returns nil if there is no response.
func (a *attempt) send(ctx context.Context) *http.Response {
	c := a.client
	url := "http://" + c.Address() + Path(a.route.Prefix, a.checker.Subject, a.checker.Total)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		panic(err) // a test has a wrong address
	}
	r.Host = a.route.Host
	r.Header.Set("X-Request-Id", fmt.Sprintf("%s.%d", a.checker.Subject, a.number))
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if last := a.checker.Last(); last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(last))
		r.Header.Set(clientContinues, "1")
	}
	roundTrip := c.transport.RoundTrip
	if c.Random.IntN(rare/2) == 0 {
		roundTrip = roundTripWithoutChunks
	}
	response, err := roundTrip(r)
	if err != nil {
		return nil
	}
	return response
}

// roundTripWithoutChunks sends a request by HTTP/1.0, whose response ends with the connection.
func roundTripWithoutChunks(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() }) // the caller ends the context
	head := fmt.Sprintf("POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: 0\r\n", r.URL.Path, r.Host)
	for name, values := range r.Header {
		head += name + ": " + values[0] + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// read reads events until the response ends, and reports whether the end looks complete.
func (a *attempt) read(body io.Reader) (complete bool, err error) {
	reader := bufio.NewReader(body)
	var lines []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err == io.EOF && (line != "" || len(lines) > 0) { //nolint:errorlint // the plain io.EOF alone is a complete end
				return true, fmt.Errorf("%w: stream %s ends within an event", ErrDamaged, a.checker.Subject)
			}
			return err == io.EOF, nil //nolint:errorlint // likewise
		}
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			lines = append(lines, line)
			continue
		}
		if err := a.observe(lines); err != nil || a.result == Left {
			return false, err
		}
		lines = lines[:0]
	}
}

// observe checks an event, which has these lines.
func (a *attempt) observe(lines []string) error {
	e, ok, err := Parse(lines)
	if err != nil || !ok {
		return err
	}
	a.numbered = slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, "id: ") })
	if err := a.checker.Observe(e); err != nil {
		return err
	}
	if a.slow {
		time.Sleep(slowEvent)
	}
	if e.Number >= a.leaveAfter {
		a.result = Left
	}
	return nil
}
