package logwriter

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput is an output that accepts nothing until unblock is closed.
type blockedOutput struct {
	unblock chan struct{} // nil: it accepts everything
	text    strings.Builder
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
	}
	return s.text.Write(p)
}

// While the output accepts lines, each is written when Write returns.
func TestInOrderAndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedOutput{}
		w := New(output, func(int) { t.Error("lines are dropped") })
		want := ""
		for i := range 2 * MaxQueued {
			text := fmt.Sprintln("line", i)
			want += text
			if n, err := w.Write([]byte(text)); n != len(text) || err != nil || output.text.String() != want {
				t.Fatalf("%d, %v, %q", n, err, output.text.String())
			}
		}
		w.Close(time.Second)
	})
}

// An output that accepts nothing delays the first line by MaxWait, and none after it; lines beyond the queue are counted; and once it accepts
// again lines are written at once.
func TestAnOutputThatAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output, lost := &blockedOutput{unblock: make(chan struct{})}, 0
		w := New(output, func(n int) { lost += n })
		began := time.Now()
		const more = 40
		for i := range 1 + MaxQueued + more {
			fmt.Fprintln(w, "line", i)
			if delay := time.Since(began); delay != MaxWait {
				t.Fatalf("line %d: delayed by %v", i, delay)
			}
		}
		close(output.unblock)
		synctest.Wait()
		if lines := strings.Count(output.text.String(), "\n"); lines != 1+MaxQueued || lost != more {
			t.Errorf("%d lines, %d reported as dropped", lines, lost)
		}
		if !strings.HasPrefix(output.text.String(), "line 0\nline 1\n") {
			t.Errorf("%.40q", output.text.String())
		}
		before := output.text.Len()
		fmt.Fprintln(w, "again")
		if !strings.HasSuffix(output.text.String()[before:], "again\n") {
			t.Error("a line after it is not written at once")
		}
		w.Close(time.Second)
	})
}

// Close waits for lines that are written late, but not for ever; lines after it are dropped.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedOutput{unblock: make(chan struct{})}
		w := New(output, func(int) {})
		fmt.Fprintln(w, "late")
		time.AfterFunc(100*time.Millisecond, func() { close(output.unblock) })
		w.Close(time.Second)
		if output.text.String() != "late\n" {
			t.Errorf("%q", output.text.String())
		}
		fmt.Fprintln(w, "after")

		never := &blockedOutput{unblock: make(chan struct{})}
		w = New(never, func(int) {})
		fmt.Fprintln(w, "never")
		began := time.Now()
		w.Close(time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("it waited for %v", took)
		}
		close(never.unblock)
	})
}
