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

// A drain is acknowledged by a majority of the members of the newest view. An acknowledgement from a later view does not
// count in an earlier one, nor does one from a former member.
func TestADrainAcrossAChangeOfMembers(t *testing.T) {
	n := newIsolatedMember(t)
	members := n.control.view.Members
	d := startDurableDrain(n, registry.Instance{ID: "i1", Service: "s", Address: "a", State: registry.Draining, Sequence: 4}, time.Second)
	request := n.lastRequest
	nextView := view(3, members[1], member("10.0.8.1:7000", "z1"), member("10.0.9.1:7000", "z2"))
	n.receiveDrainAck(members[0].Address, dissemination.DrainAck{Request: request, View: nextView.Epoch})
	require.False(t, isClosed(d.done), "the earlier members may be no majority of the later view")
	n.applyView(nextView)
	n.receiveDrainAck(members[2].Address, dissemination.DrainAck{Request: request, View: n.control.view.Epoch})
	require.False(t, isClosed(d.done), "the sender is no longer a member")
	n.receiveDrainAck("10.0.9.1:7000", dissemination.DrainAck{Request: request, View: n.control.view.Epoch})
	require.True(t, isClosed(d.done))
}

// An acknowledgement for an unknown request, or for one that is complete, has no effect.
func TestAnAnswerToNoDrain(t *testing.T) {
	n := newIsolatedMember(t)
	d := startDurableDrain(n, registry.Instance{ID: "i1", Service: "s", Address: "a", State: registry.Deregistered, Sequence: 4}, time.Second)
	n.receiveDrainAck(n.control.view.Members[0].Address, dissemination.DrainAck{Request: n.lastRequest + 1, View: n.control.view.Epoch})
	require.False(t, isClosed(d.done))
	for range 2 {
		n.receiveDrainAck(n.control.view.Members[0].Address, dissemination.DrainAck{Request: n.lastRequest, View: n.control.view.Epoch})
	}
	require.True(t, isClosed(d.done))
}
