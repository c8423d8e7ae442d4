package logwriter

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/rig/bubble"
)

// blockedOutput is an output that accepts nothing until unblock is closed.
type blockedOutput struct {
	unblock chan struct{} // nil: it accepts everything
	text    strings.Builder
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	return o.text.Write(p)
}

// While the output accepts lines, each line has been written when Write returns.
func TestLinesAreWrittenInOrderAndAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		output := &blockedOutput{}
		w := New(output, func(int) { t.Error("lines were dropped") })
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

// An output that accepts nothing delays only the first Write, by MaxWait. Lines that do not fit the queue are dropped and
// counted. Once the output accepts lines again, they are written at once.
func TestBlockedOutput(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		output, dropped := &blockedOutput{unblock: make(chan struct{})}, 0
		w := New(output, func(n int) { dropped += n })
		began := time.Now()
		const overflow = 40
		for i := range 1 + MaxQueued + overflow {
			fmt.Fprintln(w, "line", i)
			if delay := time.Since(began); delay != MaxWait {
				t.Fatalf("line %d: delayed by %v", i, delay)
			}
		}
		close(output.unblock)
		synctest.Wait()
		if lines := strings.Count(output.text.String(), "\n"); lines != 1+MaxQueued || dropped != overflow {
			t.Errorf("%d lines, %d reported as dropped", lines, dropped)
		}
		if !strings.HasPrefix(output.text.String(), "line 0\nline 1\n") {
			t.Errorf("%.40q", output.text.String())
		}
		before := output.text.Len()
		fmt.Fprintln(w, "again")
		if !strings.HasSuffix(output.text.String()[before:], "again\n") {
			t.Error("a line after the block is not written at once")
		}
		w.Close(time.Second)
	})
}

// Close waits for lines that are written late, but no longer than its limit. Lines written after it are dropped.
func TestClose(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		output := &blockedOutput{unblock: make(chan struct{})}
		w := New(output, func(int) {})
		fmt.Fprintln(w, "late")
		time.AfterFunc(100*time.Millisecond, func() { close(output.unblock) })
		w.Close(time.Second)
		if output.text.String() != "late\n" {
			t.Errorf("%q", output.text.String())
		}
		fmt.Fprintln(w, "after")

		neverUnblocked := &blockedOutput{unblock: make(chan struct{})}
		w = New(neverUnblocked, func(int) {})
		fmt.Fprintln(w, "never")
		began := time.Now()
		w.Close(time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("Close waited for %v", took)
		}
		close(neverUnblocked.unblock)
	})
}
