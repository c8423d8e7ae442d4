package lease

import (
	"errors"
	"fmt"
	"sync"
)

// ErrStaleToken is returned by Guard.Admit for a token that is older than one it has seen, or zero.
var ErrStaleToken = errors.New("stale token: a newer grant has been seen")

// Guard checks fencing tokens in a resource that a lease protects: it refuses tokens older than the newest one that it has seen.
// The zero value has seen none. A resource that outlives its process stores Newest together with the protected data, and passes
// it to NewGuard after a restart. A Guard is safe for concurrent use.
type Guard struct {
	mu     sync.Mutex
	newest Token
}

// NewGuard returns a guard that refuses tokens older than newest.
func NewGuard(newest Token) *Guard { return &Guard{newest: newest} }

// Admit calls act if token is not older than the newest token seen, and returns the error of act; otherwise it returns an error
// that wraps ErrStaleToken. Only one act runs at a time, so that an operation of a newer holder cannot overtake one that was
// admitted before it.
func (g *Guard) Admit(token Token, act func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.newest || token == 0 {
		return fmt.Errorf("%w: token %d, newest seen %d", ErrStaleToken, token, g.newest)
	}
	g.newest = token
	return act()
}

// Newest returns the newest token that the guard has seen; 0 if it has seen none.
func (g *Guard) Newest() Token {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest
}
