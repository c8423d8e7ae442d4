package sock

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/rig/bubble"
)

// failingListener is a listener whose Accept fails until a time.
type failingListener struct {
	net.Listener // nil
	until        time.Time
	conn         net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.conn, nil
}

func (l *failingListener) Close() error { return nil }

func TestAcceptGoesOnAfterTheDescriptorsRanOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		conn, _ := net.Pipe()
		shortage := 10 * time.Second
		began, reports := time.Now(), 0
		l := RetryAccept(&failingListener{until: began.Add(shortage), conn: conn}, func(error) { reports++ })
		accepted, err := l.Accept()
		if accepted != conn || err != nil || time.Since(began) > shortage+maxAcceptDelay {
			t.Errorf("%v, %v after %v", accepted, err, time.Since(began))
		}
		if reports < 10 || reports > 20 {
			t.Errorf("%d reports", reports)
		}
	})
}

func TestCloseEndsAnAcceptThatWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := RetryAccept(&failingListener{until: time.Now().Add(time.Hour)}, nil)
		began := time.Now()
		const open = 10 * time.Second
		time.AfterFunc(open, func() { _ = l.Close() }) // it has no error
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || time.Since(began) != open {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}
