package lease

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOld says that a newer holder has acted already.
var ErrOld = errors.New("a newer grant has been seen")

// Guard is what a resource keeps that a lease protects: it refuses tokens older than the newest that it saw. Its zero value has seen
// none; a resource that outlives its process keeps Newest with what it guards, and begins with Seen.
type Guard struct {
	mu     sync.Mutex
	newest Token
}

// Seen is a guard that has seen a token.
func Seen(newest Token) *Guard { return &Guard{newest: newest} }

// Admit runs an act if its token is not older than the newest seen. Acts run one at a time, for one that is admitted must not be
// overtaken by a newer holder's.
func (g *Guard) Admit(token Token, act func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.newest || token == 0 {
		return fmt.Errorf("%w: token %d, and %d was seen", ErrOld, token, g.newest)
	}
	g.newest = token
	return act()
}

// Newest is the newest token seen.
func (g *Guard) Newest() Token {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest
}
