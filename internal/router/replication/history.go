package replication

// Bounds on the entries that are kept in memory for replicas that lack them.
const (
	maxHistoryEntries = 512
	maxHistoryBytes   = 1 << 20
)

// history holds the last entries that led to the machine's state.
type history struct {
	base    Position // of the state before the first of them
	entries []Entry
	bytes   int
}

// restart drops all entries and begins at a position, whose state was not reached by them.
func (h *history) restart(p Position) { *h = history{base: p} }

// add appends the entry that was applied last, and drops the oldest entries beyond the bounds. The newest is always kept.
func (h *history) add(e Entry) {
	h.entries = append(h.entries, e)
	h.bytes += len(e.Data)
	drop := 0
	for len(h.entries)-drop > 1 && (len(h.entries)-drop > maxHistoryEntries || h.bytes > maxHistoryBytes) {
		h.base = h.entries[drop].Position
		h.bytes -= len(h.entries[drop].Data)
		drop++
	}
	if drop > 0 {
		h.entries = append([]Entry(nil), h.entries[drop:]...)
	}
}

// after returns the entries after a position, and false if not all of them are in memory. Two states with the same position
// have the same history: if the position is found here, the entries after it follow that state.
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

// newest returns the data of the newest entries, at most n.
func (h *history) newest(n int) [][]byte {
	from := max(0, len(h.entries)-n)
	var data [][]byte
	for _, e := range h.entries[from:] {
		data = append(data, e.Data)
	}
	return data
}
