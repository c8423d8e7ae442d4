package eventstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestCompleteEventsOnly(t *testing.T) {
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader,
	} {
		r := NewReader(wrap(strings.NewReader("id: 1\ndata: a\n\nversions: 7\nid: 2\ndata: b\r\n\r\nid: 3\ndata: cut")))
		event, err := r.Next()
		require.NoError(t, err, name)
		require.Equal(t, "id: 1\ndata: a\n\n", string(event.Bytes))
		require.Equal(t, "1", event.ID)
		require.True(t, event.HasData)
		event, err = r.Next()
		require.NoError(t, err, name)
		require.Equal(t, "versions: 7\nid: 2\ndata: b\r\n\r\n", string(event.Bytes))
		require.Equal(t, "2", event.ID)
		event, err = r.Next()
		require.Equal(t, ErrPartial, err)
		require.Empty(t, event.ID, "the id of a truncated event is ignored")
	}
}

func TestALongLine(t *testing.T) {
	long := "data: " + strings.Repeat("x", 20_000) + "\n\n"
	r := NewReader(strings.NewReader(long))
	event, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, long, string(event.Bytes))
	_, err = r.Next()
	require.Equal(t, io.EOF, err)
}

// Only an unwrapped io.EOF is the end of a stream: if the source fails with an error that wraps io.EOF, the stream is
// not treated as complete.
func TestAnErrorThatWrapsEOFIsNoEnd(t *testing.T) {
	failure := fmt.Errorf("connection: %w", io.EOF)
	r := NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(failure)))
	_, err := r.Next()
	require.NoError(t, err)
	_, err = r.Next()
	require.Equal(t, failure, err)

	r = NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: cut"), iotest.ErrReader(failure)))
	_, err = r.Next()
	require.Equal(t, failure, err)
}

func TestAnEndlessEvent(t *testing.T) {
	r := NewReader(strings.NewReader(strings.Repeat("data: x\n", MaxEvent/4)))
	_, err := r.Next()
	require.Equal(t, ErrTooLong, err)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var got strings.Builder
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			got.Write(event.Bytes)
		}
		require.True(t, strings.HasPrefix(text, got.String()))
	})
}

// Long events take reserved memory, which suffices for all later ones of their size, and end the stream without it.
func TestLongEventsReserveMemory(t *testing.T) {
	event := "data: " + strings.Repeat("x", 4*unreservedEvent) + "\n\n"
	reserved := int64(0)
	r := NewReader(strings.NewReader("data: short\n\n" + event + event + strings.Repeat(event, 4)))
	r.Reserve = func(bytes int64) bool {
		reserved += bytes
		return reserved <= int64(8*len(event))
	}
	_, err := r.Next()
	require.NoError(t, err)
	require.Zero(t, reserved)
	for range 2 {
		_, err = r.Next()
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, reserved, int64(cap(r.event)))
	r.Reserve = func(int64) bool { return false }
	r.reserved = 0
	_, err = r.Next()
	require.ErrorIs(t, err, ErrMemory)
}

// Only a complete event is worth waiting for: its bytes are there already.
func TestBufferedIsACompleteEvent(t *testing.T) {
	for rest, buffered := range map[string]bool{"": false, "id: 2\n": false, "id: 2\n\n": true, "id: 2\r\n\r\n": true, "id: 2\r\n\r": false} {
		r := NewReader(strings.NewReader("id: 1\n\n" + rest))
		_, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, buffered, r.Buffered(), "%q", rest)
	}
}
