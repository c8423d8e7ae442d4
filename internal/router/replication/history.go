package replication

// Bounds on the entries that are kept in memory for replicas that lack them.
const (
	historyEntries = 512
	historyBytes   = 1 << 20
)

// history is the last entries that led to the machine's state.
type history struct {
	base    Position // of the state before the first of them
	entries []Entry
	bytes   int
}

// restart forgets all entries: the state at a position did not come by them.
func (h *history) restart(p Position) { *h = history{base: p} }

// add takes in the entry that was applied last. The newest is always kept.
func (h *history) add(e Entry) {
	h.entries = append(h.entries, e)
	h.bytes += len(e.Data)
	drop := 0
	for len(h.entries)-drop > 1 && (len(h.entries)-drop > historyEntries || h.bytes > historyBytes) {
		h.base = h.entries[drop].Position
		h.bytes -= len(h.entries[drop].Data)
		drop++
	}
	if drop > 0 {
		h.entries = append([]Entry(nil), h.entries[drop:]...)
	}
}

// after gives the entries after a position, and false where they are not all there. A position names one history, so one that is
// found is that of a state from which these entries go on.
func (h *history) after(p Position) ([]Entry, bool) {
	if p == h.base {
		return h.entries, true
	}
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].Position == p {
			return h.entries[i+1:], true
		}
	}
	return nil, false
}

// last gives the data of the newest entries.
func (h *history) last(n int) [][]byte {
	from := max(0, len(h.entries)-n)
	var out [][]byte
	for _, e := range h.entries[from:] {
		out = append(out, e.Data)
	}
	return out
}
