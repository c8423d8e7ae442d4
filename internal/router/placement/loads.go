package placement

import (
	"maps"
	"slices"
)

// maxReportedServers bounds the number of servers in one message: those with the most work are sent.
const maxReportedServers = 128

// Loads is the message that reports pending work: Servers[i] has Requests[i] requests in flight, Unread[i] tokens of
// pending prefill and Streams[i] long answers. A router reports its own requests to its home; homes send sums to each
// other and to the routers that subscribe to them.
type Loads struct {
	Servers  []uint32
	Requests []uint16
	Unread   []uint32
	Streams  []uint16
}

// LoadSums is the pending work by server.
type LoadSums map[ServerHash]Work

// Sums decodes a message. It leaves out servers for which a value is missing.
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

func (s LoadSums) addAll(others LoadSums) {
	for id, work := range others {
		s[id] = s[id].plus(work)
	}
}

// Message encodes the sums. It leaves out servers without requests, and if there are more than maxReportedServers it
// keeps those with the most work.
func (s LoadSums) Message() Loads {
	ids := slices.Sorted(maps.Keys(s))
	if len(ids) > maxReportedServers {
		slices.SortStableFunc(ids, func(a, b ServerHash) int { return int(s[b].reportPriority() - s[a].reportPriority()) })
		ids = ids[:maxReportedServers]
	}
	var l Loads
	for _, id := range ids {
		work := s[id]
		if work.Requests < 0.5 {
			continue
		}
		l.Servers = append(l.Servers, uint32(id))
		l.Requests = append(l.Requests, uint16(min(work.Requests, 1<<16-1)))
		l.Unread = append(l.Unread, uint32(max(0, min(work.PrefillTokens, 1<<32-1))))
		l.Streams = append(l.Streams, uint16(max(0, min(work.Streams, 1<<16-1))))
	}
	return l
}
