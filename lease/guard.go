package lease

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOld says that an act was refused, because a newer holder has acted already.
var ErrOld = errors.New("a newer grant has been seen")

// Guard is the check of fencing tokens in a resource that a lease protects: it refuses tokens older than the newest that it has seen. Its
// zero value has seen none. A resource that outlives its process stores Newest with what it protects, and starts with Seen. A Guard is safe
// for concurrent use.
type Guard struct {
	mu     sync.Mutex
	newest Token
}

// Seen returns a guard that has seen a token.
func Seen(newest Token) *Guard { return &Guard{newest: newest} }

// Admit runs an act if its token is not older than the newest one seen, and returns its error; else ErrOld. Acts run one at a time, for an
// act that is admitted must not be overtaken by one of a newer holder.
func (g *Guard) Admit(token Token, act func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.newest || token == 0 {
		return fmt.Errorf("%w: token %d, and %d was seen", ErrOld, token, g.newest)
	}
	g.newest = token
	return act()
}

// Newest returns the newest token that was seen; 0: none.
func (g *Guard) Newest() Token {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest
}
