package clientlimit

import (
	"context"

	"petrelhook/internal/common/sock"
)

// Unframed says that the response on the connection of a request's context has neither a length nor chunks, so that its client takes the end of
// the connection for the end of the response. Until complete is called, the connection ends with a reset: also where the process is killed. It
// does nothing for a connection of another listener.
func Unframed(ctx context.Context) (complete func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	c.unframed.Store(true)
	_ = sock.ResetOnClose(c.Conn, true) // fails only on a closed connection
	return func() {
		c.unframed.Store(false)
		_ = sock.ResetOnClose(c.Conn, false)
	}
}
