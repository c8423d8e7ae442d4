package replication

import (
	"net/http"
	"time"
)

// operation is a client's call and the answer to it.
type operation struct {
	client      int
	write       bool
	base        int
	value       string
	begin, end  time.Duration
	status      int // 0: no answer
	seenVersion int
	seenValue   string
}

// write proposes a value at a process that considers itself primary.
func (s *simulation) write(client, base int, value string) {
	s.call(operation{client: client, write: true, base: base, value: value})
}

func (s *simulation) read(client int) { s.call(operation{client: client}) }

func (s *simulation) call(o operation) {
	var p *process
	for _, address := range s.addresses() {
		if q := s.hosts[address].process; q != nil && q.replica.IsPrimary() && (p == nil || s.random.Intn(2) == 0) {
			p = q
		}
	}
	if p != nil {
		s.callAt(p, o)
	}
}

// callAt makes a call at one process, whatever its role.
func (s *simulation) callAt(p *process, o operation) {
	o.begin, o.end = s.now, -1
	index := len(s.history)
	s.history = append(s.history, o)
	token := uint64(index + 1)
	p.answers[token] = func(d Decision) {
		r := &s.history[index]
		r.end, r.status = s.now, d.Status
		r.seenVersion, r.seenValue = p.published.Version, p.published.Value
	}
	s.runIn(p, func() {
		if o.write {
			p.replica.Propose(token, encodeEntry(versionEntry{o.base, o.value}), s.clock(p.host))
		} else if s.unconfirmedReads {
			p.answers[token](Decision{Status: http.StatusOK})
		} else {
			p.replica.Confirm(token, s.clock(p.host))
		}
	})
}
