package clientlimit

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestABodyOfUnknownLengthReservesWhatItNeeds(t *testing.T) {
	memory := NewMemory(1 << 20)
	read := func(limit int64) (*Reservation, []byte, error) {
		memory.limit = limit
		r := memory.Reserve(func() {})
		body, err := ReadBody(t.Context(), strings.NewReader(strings.Repeat("x", 40_000)), -1, 4<<20, r)
		return r, body, err
	}
	r, body, err := read(1 << 20)
	require.NoError(t, err)
	require.Len(t, body, 40_000)
	require.Equal(t, int64(cap(body)), memory.Reserved())
	r.Release()
	require.Zero(t, memory.Reserved())
	r, _, err = read(60_000)
	require.ErrorIs(t, err, ErrNoMemory)
	require.Equal(t, r.bytes, memory.Reserved())
	r.Release()
	require.Zero(t, memory.Reserved())
}

func TestLargeBodiesLeaveMemoryForSmallOnes(t *testing.T) {
	m := NewMemory(1 << 20)
	require.True(t, m.Reserve(func() {}).TryGrow(700<<10, 700<<10))
	require.False(t, m.Reserve(func() {}).TryGrow(100<<10, 100<<10))
	require.True(t, m.Reserve(func() {}).TryGrow(60<<10, 60<<10))
	require.Equal(t, int64(760<<10), m.Reserved())
}

// The longest body that is allowed needs no more than its length and a copy of its first half, however it is sent.
func TestTheLongestBodyNeedsNoMoreThanItsLengthAndTheBufferBefore(t *testing.T) {
	const longest = 4 << 20
	for _, length := range []int64{longest, -1} {
		memory := NewMemory((longest + longest/2 + 2) * 4 / 3) // larger messages may use three quarters
		r := memory.Reserve(func() {})
		body, err := ReadBody(t.Context(), strings.NewReader(strings.Repeat("x", longest)), length, longest, r)
		require.NoError(t, err, length)
		require.Len(t, body, longest)
	}
}
