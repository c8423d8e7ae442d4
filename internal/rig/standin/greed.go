package standin

import (
	"hash/fnv"
	"sync"
	"time"
)

// GreedyHeader marks a request of a caller that takes a server's capacity from others: for some time after one, the server
// rejects most requests of all other callers, however busy the machine is on which the stand-ins run.
const GreedyHeader = "X-Rig-Greedy"

const (
	greedDuration = 2 * time.Second // after the last greedy request
	rejectedOf    = 5               // in so many requests of others
	rejectedCount = 4               // so many are rejected
)

// greed is the time after requests of a greedy caller in which a server rejects those of others. It is safe for concurrent use.
type greed struct {
	mutex sync.Mutex
	until time.Duration
}

// record records a request of a greedy caller.
func (g *greed) record(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.until = now + greedDuration
}

// rejects reports whether a request of another caller is rejected at a time.
func (g *greed) rejects(now time.Duration, trace string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now >= g.until {
		return false
	}
	hash := fnv.New32a()
	hash.Write([]byte(trace))
	return hash.Sum32()%rejectedOf < rejectedCount
}
