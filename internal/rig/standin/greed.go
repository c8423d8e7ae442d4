package standin

import (
	"hash/fnv"
	"sync"
	"time"
)

// GreedyHeader marks a request of a caller that takes from others what a server can do: for some time after one, the server
// turns most requests of all other callers away, however busy the machine is on which the servers are played.
const GreedyHeader = "X-Rig-Greedy"

const (
	greedLasts   = 2 * time.Second // after the last greedy request
	starvedOf    = 5               // in so many requests of others
	starvedShare = 4               // so many are turned away
)

// greed is when a server last had a request of a greedy caller.
type greed struct {
	mutex sync.Mutex
	until time.Duration
}

func (g *greed) note(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.until = now + greedLasts
}

// starves reports whether a request of another caller is turned away at a time.
func (g *greed) starves(now time.Duration, trace string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now >= g.until {
		return false
	}
	hash := fnv.New32a()
	hash.Write([]byte(trace))
	return hash.Sum32()%starvedOf < starvedShare
}
