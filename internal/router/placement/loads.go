package placement

import (
	"maps"
	"slices"
	"time"
)

// maxLoads bounds the servers that one message tells of: those with the most work.
const maxLoads = 128

// Loads says what requests have left to do: at Servers[i] Requests[i], Unread[i] and Streams[i].
type Loads struct {
	Servers  []uint32
	Requests []uint16
	Unread   []uint32
	Streams  []uint16
}

// LoadSums is work by server.
type LoadSums map[ServerHash]Work

// Sums reads a message; what is not whole is left out.
func (l Loads) Sums() LoadSums {
	sums := make(LoadSums, len(l.Servers))
	for i, id := range l.Servers {
		if i >= len(l.Requests) || i >= len(l.Unread) || i >= len(l.Streams) {
			break
		}
		sums[ServerHash(id)] = Work{Requests: float64(l.Requests[i]), PrefillTokens: float64(l.Unread[i]), Streams: float64(l.Streams[i])}
	}
	return sums
}

func (s LoadSums) add(o LoadSums) {
	for id, w := range o {
		s[id] = s[id].plus(w)
	}
}

// Message makes a message of sums: of the servers with the most work, where there are many.
func (s LoadSums) Message() Loads {
	ids := slices.Sorted(maps.Keys(s))
	if len(ids) > maxLoads {
		slices.SortStableFunc(ids, func(a, b ServerHash) int { return int(s[b].weight() - s[a].weight()) })
		ids = ids[:maxLoads]
	}
	var l Loads
	for _, id := range ids {
		w := s[id]
		if w.Requests < 0.5 {
			continue
		}
		l.Servers = append(l.Servers, uint32(id))
		l.Requests = append(l.Requests, uint16(min(w.Requests, 1<<16-1)))
		l.Unread = append(l.Unread, uint32(max(0, min(w.PrefillTokens, 1<<32-1))))
		l.Streams = append(l.Streams, uint16(max(0, min(w.Streams, 1<<16-1))))
	}
	return l
}

// weight orders servers by the work that others should know of.
func (w Work) weight() float64 { return w.PrefillTokens + streamWeight*(w.Streams+w.Requests) }

// streamWeight is the unread tokens beside which a stream is worth telling of: some tenths of a second's reading is more.
const streamWeight = 1 << 10

// LoadBoard adds up what sidecars tell of the servers. A control sidecar keeps one: its own subscribers tell it what they
// have under way, and other control sidecars what theirs have. Each word stands in place of the sender's last one, and counts for
// boardGood. The board grows with the senders and what they have under way.
type LoadBoard struct{ words map[string]word }

type word struct {
	sums LoadSums
	at   time.Duration
	peer bool // of another control sidecar, for its subscribers
}

// boardGood is for how long a sender's word counts.
const boardGood = time.Second

// NewLoadBoard makes an empty board.
func NewLoadBoard() *LoadBoard { return &LoadBoard{words: map[string]word{}} }

// Put takes in a sender's word.
func (b *LoadBoard) Put(from string, peer bool, sums LoadSums, now time.Duration) {
	b.words[from] = word{sums, now, peer}
}

// Expire drops old words.
func (b *LoadBoard) Expire(now time.Duration) {
	maps.DeleteFunc(b.words, func(_ string, w word) bool { return now-w.at >= boardGood })
}

// ForPeers is what the subscribers have under way together.
func (b *LoadBoard) ForPeers() LoadSums {
	sums := LoadSums{}
	for _, w := range b.words {
		if !w.peer {
			sums.add(w.sums)
		}
	}
	return sums
}

// All is what all have under way.
func (b *LoadBoard) All() LoadSums {
	sums := LoadSums{}
	for _, w := range b.words {
		sums.add(w.sums)
	}
	return sums
}

// Others is what all but one sender have under way, of what all have.
func (b *LoadBoard) Others(all LoadSums, sender string) LoadSums {
	own := b.words[sender].sums
	if len(own) == 0 {
		return all
	}
	others := maps.Clone(all)
	for id, w := range own {
		others[id] = others[id].minus(w)
	}
	return others
}
