//go:build !race

package gateway

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that keeps a stream whole is needed: without it a test fails.
func TestGuardsOfStreams(t *testing.T) {
	const (
		relay    = "internal/router/gateway/relay.go"
		request  = "internal/router/gateway/request.go"
		sequence = "internal/router/eventstream/sequence.go"
		events   = "internal/router/eventstream/eventstream.go"
		unframed = "internal/common/clientlimit/unframed.go"
		inOrder  = "TestAStreamIsNeitherJoinedNorRepeatedNorShortened"
	)
	guard := func(file, text, replacement, test string) mutate.Mutant {
		return mutate.Mutant{File: file, Text: text, Replacement: replacement, Package: "./internal/router/gateway", Test: test}
	}
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"ids rise":                       guard(sequence, "s.positioned && number <= s.position", "false", inOrder),
		"no gap":                         guard(sequence, "step > s.largestStep()", "false", inOrder),
		"no event without a number":      guard(sequence, "	if s.continued {\n		return ErrUnverified", "	if false {\n		return ErrUnverified", inOrder),
		"a position is known":            guard(sequence, "return !s.uncovered", "return true", inOrder),
		"the client's position":          guard(request, "req.response.sequence.StartAfter(", "_ = (", inOrder),
		"an end before the first event":  guard(relay, "first && upstream.EndsWithConnection", "false", inOrder),
		"an end of a killed server":      guard("internal/router/backend/exchange.go", "if r.serverGone() {", "if false {", "TestAResponseOfAKilledServerIsNotComplete"),
		"a listener that ends later":     {File: "internal/router/backend/pool.go", Text: "return presence == sock.Gone", Replacement: "_ = presence\n	return false", Package: "./internal/router/backend", Test: "TestAConnectionThatEndedIsReplacedAtTheLimit"},
		"a listener that has ended":      {File: "internal/common/sock/probe.go", Text: "	connection, err = dial()\n", Replacement: "	connection, err = connection, syscall.ECONNREFUSED\n", Package: "./internal/common/sock", Test: "TestAProbeTellsAFullServerFromAnEndedOne"},
		"an announced end":               guard("internal/router/backend/pool.go", "announced := p.closed", "announced := false", "TestAResponseOfAKilledServerIsNotComplete"),
		"events before a failure":        guard(relay, "if result == brokenMidStream {", "if false {", inOrder),
		"a part of the next event":       guard(events, "buffered, _ := r.source.Peek(r.source.Buffered())", "if r.source.Buffered() > 0 {\n		return true\n	}\n	buffered, _ := r.source.Peek(0)", "TestAnEventDoesNotWaitForTheNextOne"),
		"a response of another kind":     guard(request, "return r.isStream && ", "return ", "TestAStreamIsNotJoinedToAResponseOfAnotherKind"),
		"a reset by the kernel":          guard(unframed, "sock.ResetOnClose(c.Conn, true)", "sock.ResetOnClose(c.Conn, false)", "TestABrokenStreamIsResetForAClientWithoutChunks"),
		"a reset of what is on its way":  {File: "internal/common/clientlimit/close.go", Text: " || c.unframed.Load()", Replacement: "", Package: "./internal/common/clientlimit", Test: "TestAnUnframedResponseThatIsStillOnItsWayIsReset"},
		"an ordinary end after the last": guard(unframed, "c.unframed.Store(false)", "c.unframed.Store(true)", "TestABrokenStreamIsResetForAClientWithoutChunks"),
	})
}
