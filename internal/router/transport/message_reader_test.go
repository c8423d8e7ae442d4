package transport

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"petrelhook/internal/common/clientlimit"
)

// readerOf returns a messageReader of a text.
func readerOf(text []byte, memory *clientlimit.Memory, limit int64) *messageReader {
	local, _ := net.Pipe()
	return &messageReader{source: bufio.NewReader(iotest.HalfReader(bytes.NewReader(text))), limit: limit, memory: memory, conn: local}
}

// Messages of any size pass unchanged, and what was reserved for them is released.
func TestMessagesPassUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		encoder := gob.NewEncoder(&text)
		sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			return string(bytes.Repeat([]byte("m"), rapid.IntRange(0, 40_000).Draw(t, "bytes")))
		}), 1, 5).Draw(t, "messages")
		for _, message := range sent {
			require.NoError(t, encoder.Encode(message))
		}
		memory := clientlimit.NewMemory(1 << 20)
		reader := readerOf(text.Bytes(), memory, 1<<20)
		decoder := gob.NewDecoder(reader)
		for _, message := range sent {
			var got string
			require.NoError(t, decoder.Decode(&got))
			require.Equal(t, message, got)
		}
		require.ErrorIs(t, decoder.Decode(new(string)), io.EOF)
		reader.release()
		require.Zero(t, memory.Reserved())
	})
}

// Whatever another process sends ends in an error, with no more memory reserved than there is, and nothing kept.
func FuzzMessageReader(f *testing.F) {
	f.Add([]byte("\xfc\x38\x40\x00\x00more"))
	f.Add([]byte("\x80"))
	f.Add([]byte("\xf8\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("\xf7\x01"))
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit = 64 << 10
		memory := clientlimit.NewMemory(limit)
		reader := readerOf(text, memory, limit)
		buffer := make([]byte, 16)
		for read := 0; ; {
			n, err := reader.Read(buffer)
			require.LessOrEqual(t, memory.Reserved(), int64(limit))
			if read += n; err != nil {
				require.LessOrEqual(t, read, len(text))
				break
			}
		}
		reader.release()
		require.Zero(t, memory.Reserved())
	})
}

func TestMessagesOverTheLimitsAreNotRead(t *testing.T) {
	memory := clientlimit.NewMemory(1 << 20)
	holder := memory.Reserve(func() {})
	require.True(t, holder.TryGrow(512<<10, 0))
	for text, want := range map[string]error{
		"\xfc\x38\x40\x00\x00": errMessageTooLong, // 900 MB
		"\xfd\x0f\x00\x00":     errMessageMemory,  // 960 KB
		"\xf7":                 errMessageLength,
	} {
		_, err := readerOf([]byte(text), memory, 2<<20).Read(make([]byte, 1))
		require.ErrorIs(t, err, want)
	}
}

// A connection without a message gives way to a new one, one with a message only where there is no other, and a new one never.
func TestANewConnectionTakesThePlaceOfTheLeastUsefulOne(t *testing.T) {
	newConn := func() net.Conn {
		local, _ := net.Pipe()
		return local
	}
	i := &inbound{limit: 3, conns: map[net.Conn]*inboundConn{}}
	used, silent, young := newConn(), newConn(), newConn()
	for _, conn := range []net.Conn{used, silent, young} {
		require.True(t, i.admit(conn))
	}
	i.received(used)
	require.False(t, i.admit(newConn()), "all are young")
	for _, conn := range []net.Conn{used, silent} {
		i.conns[conn].lastMessage = i.conns[conn].lastMessage.Add(-2 * firstMessageGrace)
	}
	require.True(t, i.admit(newConn()))
	require.NotContains(t, i.conns, silent)
	require.Contains(t, i.conns, used)
	require.True(t, i.admit(newConn()))
	require.NotContains(t, i.conns, used)
	require.Contains(t, i.conns, young)
	require.False(t, i.admit(newConn()))
	require.Equal(t, uint64(2), i.refused)
	require.Equal(t, uint64(2), i.displaced)
}
