package clientlimit

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/common/sock"
)

// limitedServer is an HTTP server with a small number of connections. It answers when the test lets it.
type limitedServer struct {
	t        *testing.T
	listener *Listener
	address  string
	began    chan *http.Request
	answer   chan struct{}
	response string
}

func newLimitedServer(t *testing.T, limit int, limits RequestLimits) *limitedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &limitedServer{t: t, address: ln.Addr().String(), began: make(chan *http.Request, 16), answer: make(chan struct{}), response: "answer"}
	s.listener = NewListener(ln, limit, NewMemory(0), func() RequestLimits { return limits })
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.began <- r
		select {
		case <-s.answer:
			io.WriteString(w, s.response)
		case <-r.Context().Done():
		}
	})}
	Attach(server)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// count returns how many connections are in a state.
func (s *limitedServer) count(state state) (count int) {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	for c := range s.listener.conns {
		if c.in(state) {
			count++
		}
	}
	return count
}

// hosts returns the numbers of connections by IP address.
func (s *limitedServer) hosts() map[string]int {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	return maps.Clone(s.listener.byHost)
}

// openFrom opens a connection from an IP address and sends a text.
func (s *limitedServer) openFrom(ip, text string) *bufio.Reader {
	s.t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	conn, err := dialer.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(peertest.EventTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(s.t, err)
	return bufio.NewReader(conn)
}

// open opens a connection and sends a text.
func (s *limitedServer) open(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, in := peertest.Dial(s.t, s.address)
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn, in
}

// age makes a message that much older.
func (t *transfer) age(d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.began = t.began.Add(-d)
	t.recent.Start(t.began)
}

// age makes all open connections that much older.
func (s *limitedServer) age(d time.Duration) {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	for c := range s.listener.conns {
		c.entered.Add(-int64(d))
		c.transfer.age(d)
	}
}

const (
	wholeRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	halfBody     = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo"
)

// A new connection takes the place of one that is of no use, and is refused with 503 where there is none.
func TestANewConnectionDisplacesOneWithoutProgress(t *testing.T) {
	for name, test := range map[string]struct {
		first     string // what the other connection has sent
		state     state
		age       time.Duration
		displaced bool
	}{
		"silent":                       {"", stateNew, 2 * progressGrace, true},
		"silent, just opened":          {"", stateNew, 0, false},
		"half a head":                  {"POST / HTTP", stateHead, time.Minute, true},
		"half a head, just begun":      {"POST / HTTP", stateHead, 0, false},
		"half a body":                  {halfBody, stateBody, time.Minute, true},
		"a request that is served":     {wholeRequest, stateServing, time.Hour, false},
		"bytes behind such a request":  {wholeRequest + "GET", stateServing, time.Hour, false},
		"a whole head and body behind": {wholeRequest + wholeRequest, stateServing, time.Hour, false},
		"far more than that behind":    {wholeRequest + strings.Repeat("x", 1<<20), stateServing, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedServer(t, 1, RequestLimits{})
			_, first := s.open(test.first)
			if strings.HasPrefix(test.first, wholeRequest) {
				<-s.began
			}
			peertest.Eventually(t, "the first connection has sent", func() bool {
				s.listener.mutex.Lock()
				defer s.listener.mutex.Unlock()
				for c := range s.listener.conns {
					isLong := len(test.first) > 1<<16
					return c.in(test.state) && isLong == c.readAhead.hasOverflowed()
				}
				return false
			})
			s.age(test.age)
			_, second := s.open(wholeRequest)
			if test.displaced {
				peertest.Eventually(t, "the first connection is displaced", func() bool { return s.listener.Counts().Displaced == 1 })
				close(s.answer)
				response, _ := peertest.ReadResponse(t, second)
				require.Equal(t, http.StatusOK, response.StatusCode)
				_, err := first.ReadByte()
				require.Error(t, err)
				require.Equal(t, ConnCounts{Displaced: 1}, s.listener.Counts())
				return
			}
			response, _ := peertest.ReadResponse(t, second)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, uint64(1), s.listener.Counts().Refused)
		})
	}
}

// A new connection takes the place of one of the address that has the most connections, but not of a request that is served, nor of one of an
// address that has hardly more than its own.
func TestANewConnectionTakesThePlaceOfOneOfTheLargestShare(t *testing.T) {
	s := newLimitedServer(t, 4, RequestLimits{})
	served := s.openFrom("127.0.0.1", wholeRequest)
	<-s.began
	for range 3 {
		s.openFrom("127.0.0.1", halfBody)
	}
	peertest.Eventually(t, "three bodies arrive", func() bool { return s.count(stateBody) == 3 })
	same := s.openFrom("127.0.0.1", wholeRequest)
	response, _ := peertest.ReadResponse(t, same)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "of the same address")
	var others []*bufio.Reader
	for range 2 {
		other := s.openFrom("127.0.0.2", wholeRequest)
		others = append(others, other)
		<-s.began
	}
	third := s.openFrom("127.0.0.2", wholeRequest)
	response, _ = peertest.ReadResponse(t, third)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "both have two connections")
	close(s.answer)
	for _, in := range append(others, served) {
		response, _ = peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, uint64(2), s.listener.Counts().Displaced)
	require.Equal(t, map[string]int{"127.0.0.1": 2, "127.0.0.2": 2}, s.hosts())
	s.listener.mutex.Lock()
	for c := range s.listener.conns {
		c.displace()
	}
	s.listener.mutex.Unlock()
	peertest.Eventually(t, "no address has a connection", func() bool { return len(s.hosts()) == 0 && s.listener.Open() == 0 })
}

// An address that has more than half of all connections takes no place of another address's connection that rests; others do.
func TestAConnectionThatRestsIsKeptFromTheAddressWithMost(t *testing.T) {
	s := newLimitedServer(t, 4, RequestLimits{})
	resting := s.openFrom("127.0.0.2", wholeRequest)
	<-s.began
	s.answer <- struct{}{}
	peertest.ReadResponse(t, resting)
	peertest.Eventually(t, "net/http has ended the response", func() bool { return s.count(stateIdle) == 1 })
	for range 3 {
		s.openFrom("127.0.0.1", wholeRequest)
		<-s.began
	}
	s.age(time.Hour)
	refused, _ := peertest.ReadResponse(t, s.openFrom("127.0.0.1", wholeRequest))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	admitted := s.openFrom("127.0.0.3", wholeRequest)
	<-s.began
	close(s.answer)
	response, _ := peertest.ReadResponse(t, admitted)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err := resting.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// However many requests of one address are served, there is room for another address.
func TestOneAddressDoesNotGetAllConnections(t *testing.T) {
	const limit = otherHostsPart
	s := newLimitedServer(t, limit, RequestLimits{})
	for range limit - 1 {
		s.openFrom("127.0.0.1", wholeRequest)
		<-s.began
	}
	refused, _ := peertest.ReadResponse(t, s.openFrom("127.0.0.1", wholeRequest))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	other := s.openFrom("127.0.0.2", wholeRequest)
	<-s.began
	close(s.answer)
	response, _ := peertest.ReadResponse(t, other)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A client that is receiving the last response of its connection gets all of it, though others want the connection's place. One that does
// not take it gives way.
func TestAResponseThatIsBeingDeliveredIsNotCutForANewConnection(t *testing.T) {
	const responseBytes = 64 << 10
	s := newLimitedServer(t, 1, RequestLimits{})
	s.response = strings.Repeat("r", responseBytes)
	close(s.answer)
	for _, isPatient := range []bool{true, false} {
		conn, in := peertest.Dial(t, s.address)
		sock.SetBuffers(conn, 4<<10) // the response stays on the server's side
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		peertest.Eventually(t, "the response is written", func() bool { return s.count(stateClosing) == 1 })
		if isPatient {
			s.age(-time.Hour) // it has just been written
			_, second := s.open(wholeRequest)
			refused, _ := peertest.ReadResponse(t, second)
			require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
			response, body := peertest.ReadResponse(t, in)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Len(t, body, responseBytes)
			require.NoError(t, conn.Close())
			peertest.Eventually(t, "the connection is gone", func() bool { return s.listener.Open() == 0 })
			continue
		}
		s.age(time.Hour)
		_, second := s.open(wholeRequest)
		response, _ := peertest.ReadResponse(t, second)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// A client that has left is noticed whatever it sent behind its request, and its connection no longer counts.
func TestAClientThatLeavesBehindOtherBytesIsNoticed(t *testing.T) {
	for name, behind := range map[string]string{"a byte": "G", "a request": wholeRequest, "more than is kept": strings.Repeat("x", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedServer(t, 8, RequestLimits{})
			conn, _ := s.open(wholeRequest + behind)
			r := <-s.began
			require.NoError(t, conn.Close())
			peertest.Wait(t, r.Context().Done())
			peertest.Eventually(t, "the connection is gone", func() bool { return s.listener.Open() == 0 })
		})
	}
}

// Requests that follow one another without a pause are all answered.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	const requests = 20
	s := newLimitedServer(t, 8, RequestLimits{})
	close(s.answer)
	go func() {
		for range s.began {
		}
	}()
	_, in := s.open(strings.Repeat(wholeRequest, requests))
	for range requests {
		response, body := peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "answer", body)
	}
	close(s.began)
}

// What follows a body that was not read is no request.
func TestTheRestOfARefusedBodyIsNoRequest(t *testing.T) {
	for name, head := range map[string]string{"a length": "Content-Length: 2000000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n1e8480\r\n"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var requests atomic.Int64
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.WriteHeader(http.StatusServiceUnavailable)
			})}
			Attach(server)
			go func() { _ = server.Serve(NewListener(ln, 8, NewMemory(0), noLimits)) }()
			t.Cleanup(func() { _ = server.Close() })
			conn, in := peertest.Dial(t, ln.Addr().String())
			go func() {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+head+strings.Repeat(wholeRequest, 40_000))
			}()
			response, _ := peertest.ReadResponse(t, in)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			_, err = in.ReadByte()
			require.Error(t, err)
			require.Equal(t, int64(1), requests.Load())
		})
	}
}

// The limits of the configuration end a head that takes too long or is too long, and a connection that rests for too long.
func TestRequestLimitsEndAConnection(t *testing.T) {
	const soon = 50 * time.Millisecond
	t.Run("a slow head", func(t *testing.T) {
		s := newLimitedServer(t, 8, RequestLimits{HeadTimeout: soon})
		_, in := s.open("POST / HTTP")
		response, _ := peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
	t.Run("a long head", func(t *testing.T) {
		s := newLimitedServer(t, 8, RequestLimits{HeadBytes: 1 << 10})
		_, in := s.open("POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 4*headSlackBytes))
		response, _ := peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		_, err := in.ReadByte()
		require.Error(t, err)
	})
	t.Run("a rest", func(t *testing.T) {
		s := newLimitedServer(t, 8, RequestLimits{IdleTimeout: soon})
		close(s.answer)
		_, in := s.open(wholeRequest)
		response, _ := peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// A client that sends its whole body before it reads gets the response to a body that is refused.
func TestAClientThatStillSendsGetsTheResponse(t *testing.T) {
	const bodyBytes = 8 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sock.SetBuffers(ln, 8<<10)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})}
	Attach(server)
	listener := NewListener(ln, 8, NewMemory(0), noLimits)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, text := range []string{
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("b", bodyBytes),
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("h", bodyBytes),
	} {
		conn, in := peertest.Dial(t, ln.Addr().String())
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		response, _ := peertest.ReadResponse(t, in)
		require.GreaterOrEqual(t, response.StatusCode, 400)
		require.NoError(t, conn.Close())
	}
	peertest.Eventually(t, "no connection is kept", func() bool { return listener.Open() == 0 })
}
