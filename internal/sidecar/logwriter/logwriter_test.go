package logwriter

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is an end that takes nothing while it is held.
type stuck struct {
	hold chan struct{} // nil: it takes
	text strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	if s.hold != nil {
		<-s.hold
	}
	return s.text.Write(p)
}

// Where lines are taken, each is written when Write returns.
func TestInOrderAndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{}
		w := New(to, func(int) { t.Error("lines are dropped") })
		want := ""
		for i := range 2 * MaxQueued {
			text := fmt.Sprintln("line", i)
			want += text
			if n, err := w.Write([]byte(text)); n != len(text) || err != nil || to.text.String() != want {
				t.Fatalf("%d, %v, %q", n, err, to.text.String())
			}
		}
		w.Close(time.Second)
	})
}

// An end that takes nothing holds up the first line for as long as Patience says, and none after it; what finds no room is counted; and
// all is well once it takes again.
func TestAnEndThatTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to, lost := &stuck{hold: make(chan struct{})}, 0
		w := New(to, func(n int) { lost += n })
		began := time.Now()
		const more = 40
		for i := range 1 + MaxQueued + more {
			fmt.Fprintln(w, "line", i)
			if held := time.Since(began); held != MaxWait {
				t.Fatalf("line %d: held up for %v", i, held)
			}
		}
		close(to.hold)
		synctest.Wait()
		if lines := strings.Count(to.text.String(), "\n"); lines != 1+MaxQueued || lost != more {
			t.Errorf("%d lines, %d told of as dropped", lines, lost)
		}
		if !strings.HasPrefix(to.text.String(), "line 0\nline 1\n") {
			t.Errorf("%.40q", to.text.String())
		}
		before := to.text.Len()
		fmt.Fprintln(w, "again")
		if !strings.HasSuffix(to.text.String()[before:], "again\n") {
			t.Error("a line after it is not written at once")
		}
		w.Close(time.Second)
	})
}

// The end waits for lines that are written late, and not for one that never is; what comes after it is no matter.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{hold: make(chan struct{})}
		w := New(to, func(int) {})
		fmt.Fprintln(w, "late")
		time.AfterFunc(100*time.Millisecond, func() { close(to.hold) })
		w.Close(time.Second)
		if to.text.String() != "late\n" {
			t.Errorf("%q", to.text.String())
		}
		fmt.Fprintln(w, "after")

		never := &stuck{hold: make(chan struct{})}
		w = New(never, func(int) {})
		fmt.Fprintln(w, "never")
		began := time.Now()
		w.Close(time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("it waited for %v", took)
		}
		close(never.hold)
	})
}
