package abuse

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// writeTimeout bounds one write of a client to a process that does not read.
	writeTimeout = 3 * time.Second
	// maxConnections bounds the connections that one client opens, one after the other.
	maxConnections = 200
	// defaultRedialDelay is that of a Behaviour without one.
	defaultRedialDelay = 5 * time.Millisecond
)

// Behaviour is what a client does on a connection.
type Behaviour struct {
	// Texts are sent one after the other. A client whose connection ends stops sending.
	Texts []Text
	// Trickle is sent after them, once in each trickleInterval, until the crowd leaves; empty: nothing is.
	Trickle string
	// Reads says that the client reads what it is sent. The others leave it to the kernel until the crowd leaves.
	Reads bool
	// ReadsSlowly says that the client reads a byte in each trickleInterval.
	ReadsSlowly bool
	// Returns says that the client opens a new connection when its connection has ended. Such a client reads.
	Returns bool
	// RedialDelay is the time between the end of a connection and the client's next one; 0: 5 ms.
	RedialDelay time.Duration
	// Resets says that the client resets its connection after the texts.
	Resets bool
	// Halves says that the client closes its direction of the connection after the texts.
	Halves bool
}

// Number stands in a text for a number that no other connection of the crowd has.
const Number = "{number}"

// Text is a text that is sent a number of times.
type Text struct {
	Content string
	Times   int
}

// trickleInterval is the time between two texts of Behaviour.Trickle, and between two bytes that a client reads slowly.
const trickleInterval = time.Second

// Crowd is a number of clients with the same behaviour.
type Crowd struct {
	address   string
	behaviour Behaviour
	texts     [][]byte // those of the behaviour: all clients share them
	leaving   chan struct{}
	leave     func()
	clients   sync.WaitGroup // those that have not ended
	sending   sync.WaitGroup // those that have not sent their texts, on their first connection
	opened    atomic.Uint64
	mutex     sync.Mutex
	conns     map[net.Conn]bool
}

// Start starts a crowd of clients that connect to an address. It leaves at the end of the test at the latest.
func Start(t testing.TB, address string, clients int, behaviour Behaviour) *Crowd {
	t.Helper()
	c := &Crowd{address: address, behaviour: behaviour, leaving: make(chan struct{}), conns: map[net.Conn]bool{}}
	c.leave = sync.OnceFunc(func() { close(c.leaving) })
	for _, text := range behaviour.Texts {
		c.texts = append(c.texts, []byte(text.Content))
	}
	for range clients {
		c.sending.Add(1)
		c.clients.Go(c.play)
	}
	t.Cleanup(c.Leave)
	return c
}

// WaitSent waits until each client has sent its texts, or was refused.
func (c *Crowd) WaitSent() { c.sending.Wait() }

// Leave closes all connections and waits until the clients have ended.
func (c *Crowd) Leave() {
	c.leave()
	c.mutex.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mutex.Unlock()
	c.clients.Wait()
}

// play is the life of one client.
func (c *Crowd) play() {
	sent := sync.OnceFunc(c.sending.Done)
	for range maxConnections {
		c.connect(sent)
		sent() // it may have been refused
		if !c.behaviour.Returns {
			<-c.leaving
			return
		}
		select {
		case <-c.leaving:
			return
		case <-time.After(cmp.Or(c.behaviour.RedialDelay, defaultRedialDelay)):
		}
	}
}

// connect opens one connection and behaves on it until it ends or the crowd leaves. A process may refuse it.
func (c *Crowd) connect(sent func()) {
	conn, err := net.Dial("tcp", c.address)
	if err != nil || !c.track(conn) {
		return
	}
	defer c.untrack(conn)
	ended := make(chan struct{})
	if c.behaviour.Reads || c.behaviour.Returns {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // until it ends
		}()
	}
	if c.send(conn) != nil {
		sent()
		c.hold(ended)
		return
	}
	sent()
	switch {
	case c.behaviour.Resets:
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	case c.behaviour.Halves:
		_ = conn.(*net.TCPConn).CloseWrite()
	case c.behaviour.Trickle != "":
		trickle := []byte(c.behaviour.Trickle)
		c.eachInterval(ended, func() error { return write(conn, trickle) })
		return
	case c.behaviour.ReadsSlowly:
		c.eachInterval(ended, func() error {
			_, err := conn.Read(make([]byte, 1))
			return err
		})
		return
	}
	c.hold(ended)
}

// track adds a connection to those that Leave closes. It returns false if the crowd leaves.
func (c *Crowd) track(conn net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	select {
	case <-c.leaving:
		_ = conn.Close()
		return false
	default:
		c.conns[conn] = true
		return true
	}
}

// untrack closes a connection.
func (c *Crowd) untrack(conn net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// send sends the texts.
func (c *Crowd) send(conn net.Conn) error {
	number := strconv.AppendUint(nil, c.opened.Add(1), 10)
	for i, text := range c.behaviour.Texts {
		content := c.texts[i]
		if bytes.Contains(content, []byte(Number)) { // long ones are shared
			content = bytes.ReplaceAll(content, []byte(Number), number)
		}
		for range text.Times {
			if err := write(conn, content); err != nil {
				return err
			}
		}
	}
	return nil
}

// write writes a text within writeTimeout.
func write(conn net.Conn, text []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(text)
	return err
}

// hold keeps a connection until it ends, where that is noticed, or the crowd leaves.
func (c *Crowd) hold(ended <-chan struct{}) {
	select {
	case <-ended:
	case <-c.leaving:
	}
}

// eachInterval calls a function now and then until it fails, the connection ends or the crowd leaves.
func (c *Crowd) eachInterval(ended <-chan struct{}, call func() error) {
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-c.leaving:
			return
		case <-ticker.C:
			if call() != nil {
				return
			}
		}
	}
}
