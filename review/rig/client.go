package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one try of a client.
type sent struct {
	at      time.Time
	sidecar string
	status  int // 0: no answer
}

// crowd is the clients of all zones, and what they sent.
type crowd struct {
	fleet *fleet
	host  string
	key   string
	mutex sync.Mutex
	tries map[string]sent // by X-Request-Id
	stop  chan struct{}
	group sync.WaitGroup
}

func newCrowd(f *fleet, host, key string) *crowd {
	return &crowd{fleet: f, host: host, key: key, tries: map[string]sent{}, stop: make(chan struct{})}
}

// run starts clients of a zone that together send some perSecond requests of 1,000 ms, each to one of the paths by chance, until end
// is called. Every second client opens a new connection for each request.
func (c *crowd) run(zone string, clients int, perSecond float64, paths []string) {
	for i := range clients {
		c.group.Go(func() {
			keep := i%2 == 0
			transport := &http.Transport{DisableKeepAlives: !keep, MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			hash := rand.IntN(1 << 20)
			var at *sidecar
			interval := time.Duration(float64(time.Second) * float64(clients) / perSecond)
			timer := time.NewTimer(time.Duration(rand.Float64() * float64(interval)))
			defer timer.Stop()
			for {
				select {
				case <-c.stop:
					return
				case <-timer.C:
				}
				began := time.Now()
				path := paths[rand.IntN(len(paths))]
				for range 2 { // a try and one retry
					if at == nil || !keep {
						at = c.fleet.pick(zone, hash)
					}
					again, broken := c.try(transport, at, path, began)
					if broken {
						at, hash = nil, hash+1
					}
					if !again {
						break
					}
				}
				timer.Reset(max(0, time.Duration(rand.ExpFloat64()*float64(interval))-time.Since(began)))
			}
		})
	}
}

// try sends one request. again: it may be sent again, since the answer promises that it has not run.
func (c *crowd) try(transport *http.Transport, to *sidecar, path string, began time.Time) (again, broken bool) {
	left := time.Second - time.Since(began)
	if left < 50*time.Millisecond {
		return false, false
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.address(to.ip, portFront)+path, strings.NewReader(strings.Repeat("b", 600)))
	request.Host = c.host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("X-Key", c.key)
	s := sent{at: time.Now(), sidecar: to.name}
	c.mutex.Lock()
	c.tries[id] = s
	c.mutex.Unlock()
	c.fleet.record.addAt(s.at, "send %s %s to %s", id, path, to.name)
	answer, err := transport.RoundTrip(request)
	if err != nil {
		c.fleet.record.add("answer %s: none", id)
		return false, true
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	c.fleet.record.add("answer %s: %d by %s", id, answer.StatusCode, answer.Header.Get("X-Response-Signature"))
	s.status = answer.StatusCode
	c.mutex.Lock()
	c.tries[id] = s
	c.mutex.Unlock()
	switch answer.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		wait, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), (time.Second-time.Since(began))/3))
		return true, answer.Close
	}
	return false, answer.Close
}

// end stops the clients and returns their tries.
func (c *crowd) end() map[string]sent {
	close(c.stop)
	c.group.Wait()
	return c.tries
}

func (c *crowd) served() (served, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.tries {
		if s.status == http.StatusOK {
			served++
		}
	}
	return served, len(c.tries)
}

// order sends an operator's order to the sidecars in turn until it is answered clearly, and returns the status and the time of the
// answer. It follows two redirections.
func (f *fleet) order(path string, base int64, body string) (int, time.Time, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		}}
	for n := range 200 {
		to := f.sidecars[n%len(f.sidecars)]
		request, err := http.NewRequest(http.MethodPost, "http://"+f.address(to.ip, portControl)+path, strings.NewReader(body))
		if err != nil {
			return 0, time.Time{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
		answer, err := client.Do(request)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == 200 || answer.StatusCode == 400 || answer.StatusCode == 412 {
				now := time.Now()
				f.record.addAt(now, "order %s on %d by way of %s: %d: %s", path, base, to.name, answer.StatusCode, body)
				return answer.StatusCode, now, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, time.Time{}, fmt.Errorf("the order %s was never answered clearly", path)
}
