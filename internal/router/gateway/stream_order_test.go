package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/eventscript"
	"petrelhook/internal/router/registry"
)

// script is what the servers of a test send: the first attempt of a request gets the first answer, the second attempt the second one.
type script []eventscript.Answer

// addScriptedServers adds as many servers as the script has answers. It returns the Last-Event-Id of each attempt.
func (r *rig) addScriptedServers(s script) (positions chan string) {
	var attempts atomic.Int64
	positions = make(chan string, len(s))
	for range s {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			_, _ = io.Copy(io.Discard, got.Body)
			positions <- got.Header.Get("Last-Event-Id")
			s[attempts.Add(1)-1].Send(w, got)
		})
	}
	return positions
}

// numbered returns events with the ids first to last.
func numbered(first, last int) string {
	var events strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", id)
	}
	return events.String()
}

// A client gets the events of one stream, each once and in order, and a stream that looks complete is.
func TestAStreamIsNeitherJoinedNorRepeatedNorShortened(t *testing.T) {
	const unnumbered = "data: x\n\n"
	cut := func(text string) eventscript.Answer { return eventscript.Answer{Text: text, End: eventscript.Reset} }
	whole := func(text string) eventscript.Answer { return eventscript.Answer{Text: text} }
	for name, c := range map[string]struct {
		path      string
		after     string // the client's Last-Event-Id
		script    script
		body      string
		complete  bool
		status    int      // 0: 200
		positions []string // Last-Event-Id of the attempts
	}{
		"the next server goes on": {"/stream/", "", script{cut(numbered(1, 2)), whole(numbered(3, 4))},
			numbered(1, 4), true, 0, []string{"", "2"}},
		"the next server begins anew": {"/stream/", "", script{cut(numbered(1, 2)), whole(numbered(1, 4))},
			numbered(1, 2), false, 0, []string{"", "2"}},
		"the next server repeats an event": {"/stream/", "", script{cut(numbered(1, 2)), whole(numbered(2, 4))},
			numbered(1, 2), false, 0, []string{"", "2"}},
		"the next server leaves an event out": {"/stream/", "", script{cut(numbered(1, 2)), whole(numbered(4, 5))},
			numbered(1, 2), false, 0, []string{"", "2"}},
		"the next server sends events without ids": {"/stream/", "", script{cut(numbered(1, 2)), whole(unnumbered + numbered(3, 4))},
			numbered(1, 2), false, 0, []string{"", "2"}},
		"the only server repeats an event": {"/once/", "", script{whole(numbered(1, 2) + numbered(2, 3))},
			numbered(1, 2), false, 0, []string{""}},
		"a server goes back, and the next one goes on": {"/stream/", "", script{whole(numbered(1, 3) + numbered(2, 4)), whole(numbered(4, 5))},
			numbered(1, 5), true, 0, []string{"", "3"}},
		"events without ids break off": {"/stream/", "", script{cut(unnumbered), whole(unnumbered + unnumbered)},
			unnumbered, false, 0, []string{""}},
		"events with other ids break off": {"/stream/", "", script{cut("id: a\n" + unnumbered), whole("id: a\n" + unnumbered)},
			"id: a\n" + unnumbered, false, 0, []string{""}},
		"an event without an id after one with": {"/stream/", "", script{cut(numbered(1, 1) + unnumbered), whole(numbered(2, 3))},
			numbered(1, 1) + unnumbered, false, 0, []string{""}},
		"comments break off": {"/stream/", "", script{cut(": wait\n\n"), whole(numbered(1, 2))},
			": wait\n\n" + numbered(1, 2), true, 0, []string{"", ""}},
		"a client goes on": {"/stream/", "2", script{whole(numbered(3, 4))},
			numbered(3, 4), true, 0, []string{"2"}},
		"a client goes on, and the first server begins anew": {"/stream/", "2", script{whole(numbered(1, 4)), whole(numbered(3, 4))},
			numbered(3, 4), true, 0, []string{"2", "2"}},
		"a client goes on, and both servers begin anew": {"/stream/", "2", script{whole(numbered(1, 4)), whole(numbered(1, 4))},
			"the server broke off\n", true, http.StatusBadGateway, []string{"2", "2"}},
		"a client goes on where the route may not": {"/once/", "2", script{whole(numbered(1, 4))},
			numbered(1, 4), true, 0, []string{"2"}},
		"a client's position is no number": {"/stream/", "x", script{cut(numbered(1, 2)), whole(numbered(3, 4))},
			numbered(1, 4), true, 0, []string{"x", "2"}},
		"an end by the connection": {"/once/", "", script{{Text: numbered(1, 3), Framing: eventscript.UntilClose}},
			numbered(1, 3), true, 0, []string{""}},
		"a reset of a stream without length": {"/once/", "", script{{Text: numbered(1, 3), Framing: eventscript.UntilClose, End: eventscript.Reset}},
			numbered(1, 3), false, 0, []string{""}},
		"an end by the connection within an event": {"/once/", "", script{{Text: numbered(1, 2) + "id: 3\n", Framing: eventscript.UntilClose}},
			numbered(1, 2), false, 0, []string{""}},
		"an end by the connection before the first event": {"/stream/", "", script{{Framing: eventscript.UntilClose}, whole(numbered(1, 2))},
			numbered(1, 2), true, 0, []string{"", ""}},
		"the next server ends the connection at once": {"/stream/", "", script{cut(numbered(1, 2)), {Framing: eventscript.UntilClose}},
			numbered(1, 2), false, 0, []string{"", "2"}},
		"a length that is too short for the events": {"/once/", "", script{{Text: numbered(1, 3), Framing: eventscript.Length, Missing: 1}},
			numbered(1, 2), false, 0, []string{""}},
		"a connection that ends before the length": {"/once/", "", script{{Text: numbered(1, 2), Framing: eventscript.Length, Missing: -5}},
			numbered(1, 2), false, 0, []string{""}},
		"the last chunk is missing": {"/once/", "", script{{Text: numbered(1, 2), End: eventscript.Close}},
			numbered(1, 2), false, 0, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			positions := r.addScriptedServers(c.script)
			var header []string
			if c.after != "" {
				header = []string{"Last-Event-Id", c.after}
			}
			response, body, err := r.do(c.path, header...)
			require.Equal(t, c.body, body)
			require.Equal(t, c.complete, err == nil, "complete; %v", err)
			require.Equal(t, max(c.status, http.StatusOK), response.StatusCode)
			for _, position := range c.positions {
				require.Equal(t, position, <-positions)
			}
			require.Empty(t, positions, "no further attempt")
		})
	}
}

// The kernel ends the connections of a killed server as the server would: a response without length looked complete.
func TestAResponseOfAKilledServerIsNotComplete(t *testing.T) {
	events := numbered(1, 2)
	for name, c := range map[string]struct {
		path      string
		announced bool // the server has announced its end
		next      script
		status    int
		body      string
		complete  bool
	}{
		"a stream":                          {"/once/", false, nil, http.StatusOK, events, false},
		"a stream that another one goes on": {"/stream/", false, script{{Text: numbered(3, 4)}}, http.StatusOK, numbered(1, 4), true},
		"a response":                        {"/unsafe/", false, nil, http.StatusBadGateway, "the server broke off\n", true},
		"a stream of a server that leaves":  {"/once/", true, nil, http.StatusOK, events, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			var killed *httptest.Server
			killed = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, got *http.Request) {
				_, _ = io.Copy(io.Discard, got.Body)
				if c.announced {
					r.gateway.UpdateServers([]*registry.Entry{{Instance: registry.Instance{ID: "i0", Service: "s", State: registry.Draining}}})
				}
				r.addScriptedServers(c.next)
				killed.Listener.Close()
				eventscript.Answer{Text: events, Framing: eventscript.UntilClose}.Send(w, got)
			}))
			defer killed.Close()
			r.addAddress(killed.Listener.Addr().String())
			response, body, err := r.do(c.path)
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.body, body)
			require.Equal(t, c.complete, err == nil, "%v", err)
		})
	}
}

// A response that is no stream was passed on in part, and a stream of the next server was appended to it.
func TestAStreamIsNotJoinedToAResponseOfAnotherKind(t *testing.T) {
	r := newRig(t)
	const memory = 64 << 10
	r.gateway.options.Memory = clientlimit.NewMemory(memory)
	text := strings.Repeat("t", 4*memory)
	r.addScriptedServers(script{{Text: text, ContentType: "text/plain", End: eventscript.Reset}, {Text: numbered(1, 2)}})
	_, body, err := r.do("/stream/")
	require.Error(t, err)
	require.True(t, strings.HasPrefix(text, body), "ends with %q", body[max(0, len(body)-40):])
}

// An event is passed on although only a part of the next one has arrived.
func TestAnEventDoesNotWaitForTheNextOne(t *testing.T) {
	r := newRig(t)
	r.addScriptedServers(script{{Text: numbered(1, 1) + "id: 2\n", End: eventscript.Hold}})
	response, err := http.DefaultClient.Do(r.newRequest("/once/"))
	require.NoError(t, err)
	defer response.Body.Close()
	event := make([]byte, len(numbered(1, 1)))
	_, err = io.ReadFull(response.Body, event)
	require.NoError(t, err, "until the deadline of the request")
	require.Equal(t, numbered(1, 1), string(event))
}

// To a client of HTTP/1.0 the end of the connection is the end of the stream: a stream that breaks off ended like a complete one.
func TestABrokenStreamIsResetForAClientWithoutChunks(t *testing.T) {
	for name, c := range map[string]struct {
		end    eventscript.End
		killed bool // the process ends: the kernel closes the connection
		reset  bool
	}{"broken": {eventscript.Reset, false, true}, "complete": {eventscript.Complete, false, false}, "killed": {eventscript.Hold, true, true}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addScriptedServers(script{{Text: numbered(1, 2), End: c.end}})
			front := httptest.NewUnstartedServer(r.gateway)
			accepted := &peertest.AcceptedConns{Listener: front.Listener}
			front.Listener = clientlimit.NewListener(accepted, 10, clientlimit.NewMemory(0), func() clientlimit.RequestLimits { return clientlimit.RequestLimits{} })
			clientlimit.Attach(front.Config)
			front.Start()
			defer front.Close()
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, "POST /once/ HTTP/1.0\r\nHost: a.example\r\nX-Key: k1\r\nX-Request-Id: id1\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.ReadFull(response.Body, make([]byte, len(numbered(1, 2))))
			require.NoError(t, err)
			if c.killed {
				accepted.CloseConns(t)
			}
			_, err = io.ReadAll(response.Body)
			require.Equal(t, c.reset, err != nil, "%v", err)
		})
	}
}
