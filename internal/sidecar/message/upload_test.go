package message

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"petrelhook/internal/rig/bubble"
)

// Chunks arrive in order, followed by the end of the body, whatever the sizes in which the body is read.
func TestChunks(t *testing.T) {
	body := strings.Repeat("0123456789", 10_000)
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(body), "by bytes": iotest.OneByteReader(strings.NewReader(body[:3000])), "with the end": iotest.DataErrReader(strings.NewReader(body)),
	} {
		u := NewUpload(-1)
		go u.Pump(r)
		var got strings.Builder
		for {
			chunk, err := u.Next(nil)
			got.Write(chunk)
			if err == io.EOF { //nolint:errorlint // the plain value, as io.Reader asks
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if !strings.HasPrefix(body, got.String()) || got.Len() < 3000 {
			t.Errorf("%s: %d bytes", name, got.Len())
		}
		if _, err := u.Next(nil); err != io.EOF { //nolint:errorlint // the plain value, as io.Reader asks
			t.Errorf("%s: after the end: %v", name, err)
		}
	}
}

// If an exchange is stopped while it waits, the next exchange gets the chunk that arrives afterwards. A stopped exchange does not
// read an available chunk.
func TestUnreadChunksAreLeftToTheNextExchange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pipeReader, pipeWriter := io.Pipe()
		u := NewUpload(10)
		go u.Pump(pipeReader)
		stop, stopped := make(chan struct{}), make(chan error, 1)
		go func() {
			_, err := u.Next(stop)
			stopped <- err
		}()
		synctest.Wait()
		close(stop)
		if err := <-stopped; err != ErrStopped { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", err)
		}
		go io.WriteString(pipeWriter, "0123")
		synctest.Wait()
		if chunk, err := u.Next(stop); err != ErrStopped { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%q, %v", chunk, err)
		}
		if chunk, err := u.Next(nil); string(chunk) != "0123" || err != nil {
			t.Errorf("%q, %v", chunk, err)
		}
		pipeWriter.CloseWithError(errors.New("broken off"))
		if _, err := u.Next(nil); err == nil || err == io.EOF { //nolint:errorlint // the plain value, as io.Reader asks
			t.Errorf("%v", err)
		}
	})
}

// Close ends a Pump and a Next that wait.
func TestCloseEndsPumpAndNext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		u, pumped, waited := NewUpload(10), make(chan struct{}), make(chan error, 1)
		go func() { u.Pump(strings.NewReader("0123")); close(pumped) }()
		synctest.Wait()
		u.Close()
		u.Close()
		<-pumped
		u = NewUpload(10)
		go func() { _, err := u.Next(nil); waited <- err }()
		synctest.Wait()
		u.Close()
		if err := <-waited; err != ErrClosed { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", err)
		}
	})
}
