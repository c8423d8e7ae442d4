package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
)

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// A drain is acknowledged by a majority of the newest members: an answer of one that knows a later view does not count in the one before,
// and the members of a new view are asked anew.
func TestADrainAcrossAChangeOfMembers(t *testing.T) {
	n := memberOutOfTouch(t)
	members := n.view.Members
	k := n.spreadDrain("", 0, registry.Instance{ID: "i1", Service: "s", Address: "a", State: registry.Draining, Sequence: 4}, time.Second)
	request := n.token
	next := view(3, members[1], member("10.0.8.1:7000", "z1"), member("10.0.9.1:7000", "z2"))
	n.onDrainAck(members[0].Address, dissemination.DrainAck{Request: request, View: next.Epoch})
	require.False(t, isClosed(k.done), "of these members there may be no majority any more")
	n.noteView(next)
	n.onDrainAck(members[2].Address, dissemination.DrainAck{Request: request, View: n.view.Epoch})
	require.False(t, isClosed(k.done), "it is no member any more")
	n.onDrainAck("10.0.9.1:7000", dissemination.DrainAck{Request: request, View: n.view.Epoch})
	require.True(t, isClosed(k.done))
}

// An answer to a question that nobody asked, or that was answered, does nothing.
func TestAnAnswerToNoDrain(t *testing.T) {
	n := memberOutOfTouch(t)
	k := n.spreadDrain("", 0, registry.Instance{ID: "i1", Service: "s", Address: "a", State: registry.Deregistered, Sequence: 4}, time.Second)
	n.onDrainAck(n.view.Members[0].Address, dissemination.DrainAck{Request: n.token + 1, View: n.view.Epoch})
	require.False(t, isClosed(k.done))
	for range 2 {
		n.onDrainAck(n.view.Members[0].Address, dissemination.DrainAck{Request: n.token, View: n.view.Epoch})
	}
	require.True(t, isClosed(k.done))
}
