package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one try of a client.
type sent struct {
	id      string
	machine *machine
	at      time.Time
	status  int // 0: no answer
	took    time.Duration
}

// clients send requests to all machines until stop is called, each over a new connection, at random times.
type clients struct {
	f       *fleet
	host    string
	path    string
	key     string // "" for a configuration without tenants
	numbers atomic.Int64
	done    chan struct{}
	group   sync.WaitGroup

	mutex sync.Mutex
	tries map[string]*sent
}

func (f *fleet) newClients(host, path string, mean time.Duration, key string) *clients {
	c := &clients{f: f, host: host, path: path, key: key, done: make(chan struct{}), tries: map[string]*sent{}}
	for _, m := range f.machines {
		c.group.Go(func() {
			for {
				select {
				case <-c.done:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(mean))):
					c.group.Go(func() { c.send(m, 1500) })
				}
			}
		})
	}
	return c
}

// send sends one request to a machine.
func (c *clients) send(m *machine, deadlineMs int) *sent {
	t := &sent{id: fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(c.numbers.Add(1))), machine: m, at: time.Now()}
	request, _ := http.NewRequest(http.MethodPost, "http://"+c.f.front(m)+c.path, strings.NewReader("body"))
	request.Host = c.host
	request.Header.Set("X-Request-Id", t.id)
	request.Header.Set("X-Request-Deadline", fmt.Sprint(deadlineMs))
	if c.key != "" {
		request.Header.Set("X-Key", c.key)
	}
	client := newClient(time.Duration(deadlineMs) * time.Millisecond)
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		t.status = response.StatusCode
	}
	t.took = time.Since(t.at)
	c.mutex.Lock()
	c.tries[t.id] = t
	c.mutex.Unlock()
	return t
}

func (c *clients) stop() {
	close(c.done)
	c.group.Wait()
}

// summary counts the answers by status.
func (c *clients) summary() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := map[int]int{}
	for _, t := range c.tries {
		counts[t.status]++
	}
	return fmt.Sprintf("%d requests sent, answers by status (0: none): %v", len(c.tries), counts)
}
