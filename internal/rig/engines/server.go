package engines

import (
	"container/list"
	"time"
)

// server is one model server.
type server struct {
	schedule *schedule
	engine   *Engine
	index    int
	zone     int

	slow float64
	down bool

	running []*run
	queue   []*run

	stepping bool
	began    time.Duration // of the steps under way
	each     time.Duration // what one of them takes
	steps    int
	reads    map[*run]int // tokens that this step reads
	turn     int          // of the steps under way; an end of earlier ones is passed over

	kept     map[uint64]*list.Element // of parts, by key
	order    *list.List               // least recently used first
	memory   float64                  // tokens of kept parts
	readAll  float64
	busy     time.Duration // that was spent reading
	nextOwn  uint64
	refusals int
}

type keptPart struct {
	key    uint64
	tokens int
}

// run is a request at a server.
type run struct {
	a      *arrival
	from   int // events that were sent elsewhere before
	unread int
	read   int // tokens in memory before the next chunk
	tokens int // generated here
	sent   int // events, those sent elsewhere included
	event  func(n int, last bool)
	ended  func(ok bool)
	over   bool
}

func newServer(s *schedule, e *Engine, index, zone int) *server {
	return &server{schedule: s, engine: e, index: index, zone: zone, slow: 1, kept: map[uint64]*list.Element{}, order: list.New()}
}

// take takes a request; false: it is full.
func (s *server) take(r *run) bool {
	if len(s.running) >= s.engine.Slots {
		if len(s.queue) >= s.engine.Queue {
			s.refusals++
			return false
		}
		s.queue = append(s.queue, r)
		return true
	}
	s.start(r)
	return true
}

func (s *server) start(r *run) {
	r.unread = r.a.own + r.from*s.engine.Stride
	whole := true
	for _, p := range r.a.parts {
		at, ok := s.kept[p.key]
		if whole = whole && ok; whole {
			s.order.MoveToBack(at)
			r.read += p.tokens
			continue
		}
		r.unread += p.tokens
	}
	s.readAll += float64(r.unread)
	s.running = append(s.running, r)
	s.interrupt()
}

// interrupt ends the steps under way with the one that runs now, since something else joins the batch.
func (s *server) interrupt() {
	if !s.stepping {
		s.step()
		return
	}
	if s.steps <= 1 {
		return
	}
	s.steps = min(s.steps, int((s.schedule.now-s.began)/s.each)+1)
	s.finishAt(s.began + time.Duration(s.steps)*s.each)
}

func (s *server) finishAt(t time.Duration) {
	s.turn++
	turn := s.turn
	s.schedule.at(t, func() {
		if turn == s.turn {
			s.finish()
		}
	})
}

// step begins the next steps: one, while a prompt is read, else as many as pass until something is sent.
func (s *server) step() {
	if len(s.running) == 0 || s.down {
		s.stepping = false
		return
	}
	s.reads = map[*run]int{}
	chunk, pairs, held := s.engine.Chunk, 0.0, 0
	s.steps = 1 << 30
	for _, r := range s.running {
		held += r.read + r.tokens
		if r.unread == 0 {
			s.steps = min(s.steps, s.engine.Stride-r.tokens%s.engine.Stride)
			continue
		}
		if n := min(chunk, r.unread); n > 0 {
			s.reads[r] = n
			chunk -= n
			pairs += float64(n) * (float64(r.read) + float64(n)/2)
		}
	}
	read := s.engine.Chunk - chunk
	if read > 0 {
		s.steps = 1
	}
	reading := time.Duration(float64(read)/s.engine.ReadPerMs*float64(time.Millisecond) + pairs/1e6*float64(s.engine.PairsPerM))
	took := s.engine.Step + time.Duration(len(s.running))*s.engine.StepEach + time.Duration(float64(held)/1000*float64(s.engine.ContextK)) + reading
	s.each = max(time.Microsecond, time.Duration(float64(took)*s.slow))
	s.busy += time.Duration(float64(reading) * s.slow)
	s.began, s.stepping = s.schedule.now, true
	s.finishAt(s.began + time.Duration(s.steps)*s.each)
}

// finish ends the steps under way.
func (s *server) finish() {
	var left []*run
	for _, r := range s.running {
		if n := s.reads[r]; n > 0 {
			r.unread -= n
			r.read += n
			if r.unread == 0 {
				s.keep(r)
				s.send(r, s.engine.First)
			}
		} else if r.unread == 0 {
			r.tokens += s.steps
			if r.tokens%s.engine.Stride == 0 {
				s.send(r, 0)
			}
		}
		if !r.over {
			left = append(left, r)
		}
	}
	s.running = left
	for len(s.queue) > 0 && len(s.running) < s.engine.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.stepping = true // start begins no step of its own
		s.steps = 1
		s.start(next)
	}
	s.step()
}

// send sends the next event of a request after a time.
func (s *server) send(r *run, after time.Duration) {
	n := r.from + r.sent
	r.sent++
	last := n+1 >= r.a.events
	s.schedule.at(s.schedule.now+after, func() { r.event(n, last) })
	if last {
		r.over = true
		s.schedule.at(s.schedule.now+after, func() { r.ended(true) })
	}
}

// keep remembers the parts of a prompt that was read; the least recently used give way.
func (s *server) keep(r *run) {
	for _, p := range r.a.parts {
		s.remember(p.key, p.tokens)
	}
	s.nextOwn++
	s.remember(1<<62|s.nextOwn, r.a.own)
	for s.memory > s.engine.Memory && s.order.Len() > 0 {
		oldest := s.order.Remove(s.order.Front()).(keptPart)
		delete(s.kept, oldest.key)
		s.memory -= float64(oldest.tokens)
	}
}

func (s *server) remember(key uint64, tokens int) {
	if at, ok := s.kept[key]; ok {
		s.order.MoveToBack(at)
		return
	}
	s.kept[key] = s.order.PushBack(keptPart{key, tokens})
	s.memory += float64(tokens)
}

// cancel ends a request that nobody waits for any more.
func (s *server) cancel(r *run) {
	r.over = true
	for i, one := range s.queue {
		if one == r {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	s.interrupt()
}

// crash ends everything that runs, and forgets what was kept.
func (s *server) crash() {
	s.down, s.stepping = true, false
	s.turn++
	all := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	s.kept, s.memory = map[uint64]*list.Element{}, 0
	s.order.Init()
	for _, r := range all {
		if !r.over {
			r.over = true
			r.ended(false)
		}
	}
}

// unread is the true work in prompts that are not read yet.
func (s *server) unread() (tokens float64) {
	for _, r := range s.running {
		tokens += float64(r.unread)
	}
	for _, r := range s.queue {
		tokens += float64(r.a.prompt())
	}
	return tokens * s.slow
}

// streams is how many of its requests have long answers to send.
func (s *server) streams() (n float64) {
	for _, r := range s.running {
		if r.a.events*s.engine.Stride > r.a.prompt() {
			n++
		}
	}
	return n
}

// keeps is the tokens of a prompt that need not be read.
func (s *server) keeps(a *arrival) (tokens int) {
	for _, p := range a.parts {
		if _, ok := s.kept[p.key]; !ok {
			break
		}
		tokens += p.tokens
	}
	return tokens
}
