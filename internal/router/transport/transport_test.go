package transport

import (
	"encoding/gob"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type message struct{ Number int }

func init() { gob.Register(message{}) }

// sameOnWire is a Codec that sends messages unchanged.
type sameOnWire struct{}

func (sameOnWire) ToWire(message any) any { return message }
func (sameOnWire) FromWire(value any) any { return value }

// A router that sends to itself while it holds a lock that its handler acquires must not deadlock.
func TestSendingToItselfUnderALock(t *testing.T) {
	var mutex sync.Mutex
	got := make(chan int, 1)
	router := New("127.0.0.1:1", sameOnWire{}, func(_ string, body any) {
		mutex.Lock()
		defer mutex.Unlock()
		got <- body.(message).Number
	}, Limits{})
	defer router.Close()
	mutex.Lock()
	router.Send("127.0.0.1:1", message{7})
	mutex.Unlock()
	require.Equal(t, 7, <-got)
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	got := make(chan int, 200)
	to := New(listener.Addr().String(), sameOnWire{}, func(from string, body any) { got <- body.(message).Number }, Limits{})
	go to.Serve(listener)
	defer to.Close()
	defer listener.Close()
	from := New("127.0.0.1:2", sameOnWire{}, nil, Limits{})
	defer from.Close()
	for i := range 100 {
		from.Send(listener.Addr().String(), message{i})
	}
	for i := range 100 {
		require.Equal(t, i, <-got)
	}
	from.Close() // waits for the writer, which counts the bytes after writing them
	require.Positive(t, from.SentBytes())
}

// Messages to a peer that does not listen are lost, and the sender does not block.
func TestAnAbsentPeer(t *testing.T) {
	from := New("127.0.0.1:2", sameOnWire{}, nil, Limits{})
	defer from.Close()
	began := time.Now()
	for i := range 10 * queueLength {
		from.Send("127.0.0.1:9", message{i})
	}
	require.Less(t, time.Since(began), time.Second)
}

// After Reconnect, messages go over a new connection, although the old one shows no error.
func TestReconnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	read := func(c net.Conn) int {
		var e Envelope
		require.NoError(t, gob.NewDecoder(c).Decode(&e))
		return e.Body.(message).Number
	}
	from := New("127.0.0.1:2", sameOnWire{}, nil, Limits{})
	defer from.Close()
	to := listener.Addr().String()
	from.Send(to, message{1})
	first, err := listener.Accept()
	require.NoError(t, err)
	defer first.Close()
	require.Equal(t, 1, read(first))
	from.Reconnect(to)
	from.Send(to, message{2})
	second, err := listener.Accept()
	require.NoError(t, err)
	defer second.Close()
	require.Equal(t, 2, read(second))
}

// Guards against a restarted peer that waits for the next repetition of what it lacks: a message that was sent to its new incarnation
// was dropped together with those to the incarnation before, in the pause after a failed dial.
func TestMessagesToANewIncarnationAreNotDropped(t *testing.T) {
	const rounds = 50 // the pause has not begun yet in some of them
	for range rounds {
		sendToARestartedPeer(t)
	}
}

// sendToARestartedPeer sends a message to a peer that does not listen, and another one to its next incarnation, which listens. It fails
// if the latter does not arrive.
func sendToARestartedPeer(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.7.1:0") // no other test takes the port meanwhile
	require.NoError(t, err)
	to := listener.Addr().String()
	require.NoError(t, listener.Close())
	from := New("127.0.0.1:2", sameOnWire{}, nil, Limits{})
	defer from.Close()
	from.Send(to, message{1})
	for len(from.peers[to].queue) > 0 {
		runtime.Gosched() // until the message is being sent
	}

	listener, err = net.Listen("tcp", to)
	require.NoError(t, err)
	defer listener.Close()
	from.Reconnect(to)
	from.Send(to, message{2})
	require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(5*time.Second)))
	for number := 0; number != 2; {
		conn, err := listener.Accept()
		require.NoError(t, err, "message 2 was dropped")
		defer conn.Close()
		decoder := gob.NewDecoder(conn)
		for e := (Envelope{}); number != 2 && decoder.Decode(&e) == nil; {
			number = e.Body.(message).Number
		}
	}
}
