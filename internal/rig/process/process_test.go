package process

import (
	"os"
	"testing"
	"time"
)

// childVariable is set in the environment of a process that this package's tests start.
const childVariable = "PROCESS_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		runThreads()
	}
	os.Exit(m.Run())
}

// runThreads keeps several threads busy until the process is killed or the time is up.
func runThreads() {
	const (
		threads  = 4
		longest  = time.Minute
		interval = 100 * time.Microsecond
	)
	for range threads {
		go func() {
			for {
				time.Sleep(interval)
			}
		}()
	}
	time.Sleep(longest)
	os.Exit(1)
}

// A test that goes on before the process has stopped meets a process that still answers.
func TestPauseReturnsOnceTheProcessHasStopped(t *testing.T) {
	const pauses = 100
	p := Start(t, Self(childVariable, "1"))
	for range pauses {
		p.Pause()
		if !p.stopped() {
			t.Fatalf("state %q after Pause", p.State())
		}
		p.Resume()
	}
	p.Pause()
	_ = p.Kill() // it is waited for next
	_ = p.Wait()
	p.Pause() // one that has ended
}
