package process

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/await"
)

// CheckOutlivesLogReader starts a process whose log goes to a pipe, closes the reader of the pipe once a line contains the text serving, and
// sends SIGTERM, at which the process has to log something. It fails the test unless the process exits with code 0.
func CheckOutlivesLogReader(t testing.TB, cmd *exec.Cmd, serving string) {
	t.Helper()
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	started := make(chan bool, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if strings.Contains(lines.Text(), serving) {
				started <- true
				return
			}
		}
		started <- false
	}()
	if !receive(t, started) {
		t.Fatalf("the process ended without a line with %q", serving)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := receive(t, ended); err != nil {
		t.Errorf("after the reader of its log had gone: %v", err)
	}
}

// FullPipe returns the writing end of a pipe that is full and is not read until the test ends. The caller closes it.
func FullPipe(t testing.TB) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	const longestWrite = 10 * time.Millisecond // a write that takes longer waits for a reader
	for chunk := make([]byte, os.Getpagesize()); err == nil; {
		if err := writer.SetWriteDeadline(time.Now().Add(longestWrite)); err != nil {
			t.Fatal(err)
		}
		_, err = writer.Write(chunk)
	}
	return writer
}

// receive returns the next value of a channel, and ends the test if none comes in time.
func receive[T any](t testing.TB, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(await.Timeout):
		t.Fatalf("nothing was received within %v", await.Timeout)
	}
	return value
}
