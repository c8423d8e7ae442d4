package transport

import (
	"encoding/gob"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type note struct{ Number int }

func init() { gob.Register(note{}) }

// sameOnWire sends messages as they are.
type sameOnWire struct{}

func (sameOnWire) ToWire(message any) any { return message }
func (sameOnWire) FromWire(value any) any { return value }

// A sidecar that sends to itself under a lock that its handler takes must not stand still.
func TestSendingToItselfUnderALock(t *testing.T) {
	var mutex sync.Mutex
	got := make(chan int, 1)
	one := New("127.0.0.1:1", sameOnWire{}, func(_ string, body any) {
		mutex.Lock()
		defer mutex.Unlock()
		got <- body.(note).Number
	})
	defer one.Close()
	mutex.Lock()
	one.Send("127.0.0.1:1", note{7})
	mutex.Unlock()
	require.Equal(t, 7, <-got)
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	got := make(chan int, 200)
	to := New(listener.Addr().String(), sameOnWire{}, func(from string, body any) { got <- body.(note).Number })
	go to.Serve(listener)
	defer to.Close()
	defer listener.Close()
	from := New("127.0.0.1:2", sameOnWire{}, nil)
	defer from.Close()
	for i := range 100 {
		from.Send(listener.Addr().String(), note{i})
	}
	for i := range 100 {
		require.Equal(t, i, <-got)
	}
	from.Close() // it waits for the writer, which counts after it has written
	require.Positive(t, from.SentBytes())
}

// A peer that does not listen costs its messages, not the sender's time.
func TestAPeerThatIsNotThere(t *testing.T) {
	from := New("127.0.0.1:2", sameOnWire{}, nil)
	defer from.Close()
	began := time.Now()
	for i := range 10 * queueLength {
		from.Send("127.0.0.1:9", note{i})
	}
	require.Less(t, time.Since(began), time.Second)
}

// What is sent after the peer is known to have started anew goes over a new connection, although the old one shows no fault.
func TestRenew(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	read := func(c net.Conn) int {
		var e Envelope
		require.NoError(t, gob.NewDecoder(c).Decode(&e))
		return e.Body.(note).Number
	}
	from := New("127.0.0.1:2", sameOnWire{}, nil)
	defer from.Close()
	to := listener.Addr().String()
	from.Send(to, note{1})
	first, err := listener.Accept()
	require.NoError(t, err)
	defer first.Close()
	require.Equal(t, 1, read(first))
	from.Reconnect(to)
	from.Send(to, note{2})
	second, err := listener.Accept()
	require.NoError(t, err)
	defer second.Close()
	require.Equal(t, 2, read(second))
}
