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

	slowFactor float64 // of its times
	down       bool

	running []*run
	queue   []*run
	batch   batchSteps
	cache   prefixCache

	prefillTotal float64 // tokens
}

// batchSteps are the steps under way. They are simulated together, as long as nothing joins the batch and nothing is sent.
type batchSteps struct {
	active   bool
	began    time.Duration
	duration time.Duration // of each
	count    int
	prefill  map[*run]int // tokens that this step reads
	id       int          // the end of steps with another id is ignored
}

// run is a request at a server.
type run struct {
	arrival     *arrival
	resumeFrom  int // events that were sent by other servers before
	prefillLeft int // tokens
	prefilled   int // tokens of the prompt in the context
	generated   int // tokens
	eventsSent  int
	over        bool
	onEvent     func(n int, last bool)
	onEnd       func(ok bool)
}

// newServer is an idle server.
func newServer(s *schedule, e *Engine, index, zone int) *server {
	return &server{schedule: s, engine: e, index: index, zone: zone, slowFactor: 1, cache: newPrefixCache()}
}

// accept runs or queues a request; false: it is full.
func (s *server) accept(r *run) bool {
	if len(s.running) < s.engine.Slots {
		s.start(r)
		return true
	}
	if len(s.queue) >= s.engine.QueueLength {
		return false
	}
	s.queue = append(s.queue, r)
	return true
}

// start adds a request to the batch.
func (s *server) start(r *run) {
	r.prefillLeft = r.arrival.ownTokens + r.resumeFrom*s.engine.TokensPerEvent
	cached := true
	for _, p := range r.arrival.parts {
		cached = cached && s.cache.touch(p.key)
		if cached {
			r.prefilled += p.tokens
		} else {
			r.prefillLeft += p.tokens
		}
	}
	s.prefillTotal += float64(r.prefillLeft)
	s.running = append(s.running, r)
	s.interrupt()
}

// interrupt ends the steps under way with the one that runs now, since the batch changes.
func (s *server) interrupt() {
	if !s.batch.active {
		s.step()
		return
	}
	if s.batch.count <= 1 {
		return
	}
	s.batch.count = min(s.batch.count, int((s.schedule.now-s.batch.began)/s.batch.duration)+1)
	s.scheduleFinish()
}

// scheduleFinish schedules the end of the steps under way, in place of an end that was scheduled before.
func (s *server) scheduleFinish() {
	s.batch.id++
	id := s.batch.id
	s.schedule.at(s.batch.began+time.Duration(s.batch.count)*s.batch.duration, func() {
		if id == s.batch.id {
			s.finish()
		}
	})
}

// step begins the next steps: one, while a prompt is read, else as many as pass until an event is sent.
func (s *server) step() {
	if len(s.running) == 0 || s.down {
		s.batch.active = false
		return
	}
	s.batch.prefill = map[*run]int{}
	chunk, pairs, context := s.engine.ChunkTokens, 0.0, 0
	s.batch.count = 1 << 30
	for _, r := range s.running {
		context += r.prefilled + r.generated
		if r.prefillLeft == 0 {
			s.batch.count = min(s.batch.count, s.engine.TokensPerEvent-r.generated%s.engine.TokensPerEvent)
			continue
		}
		if n := min(chunk, r.prefillLeft); n > 0 {
			s.batch.prefill[r] = n
			chunk -= n
			pairs += float64(n) * (float64(r.prefilled) + float64(n)/2)
		}
	}
	tokens := s.engine.ChunkTokens - chunk
	if tokens > 0 {
		s.batch.count = 1
	}
	s.batch.duration = max(time.Microsecond, time.Duration(float64(s.stepTime(tokens, pairs, context))*s.slowFactor))
	s.batch.began, s.batch.active = s.schedule.now, true
	s.scheduleFinish()
}

// stepTime is the time of a step that reads so many tokens with so many pairs of attention, with a context of all running requests.
func (s *server) stepTime(prefill int, pairs float64, context int) time.Duration {
	e := s.engine
	reading := time.Duration(float64(prefill)/e.PrefillTokensPerMs*float64(time.Millisecond) + pairs/1e6*float64(e.AttentionTimePerMillion))
	return e.StepTime + time.Duration(len(s.running))*e.StepTimePerRequest + time.Duration(float64(context)/1000*float64(e.StepTimePer1000Tokens)) + reading
}

// finish ends the steps under way, fills the batch from the queue and begins the next steps.
func (s *server) finish() {
	var left []*run
	for _, r := range s.running {
		s.advance(r)
		if !r.over {
			left = append(left, r)
		}
	}
	s.running = left
	for len(s.queue) > 0 && len(s.running) < s.engine.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.batch.active, s.batch.count = true, 1 // so that start begins no step of its own
		s.start(next)
	}
	s.step()
}

// advance adds to a request what the steps under way did for it.
func (s *server) advance(r *run) {
	if n := s.batch.prefill[r]; n > 0 {
		r.prefillLeft -= n
		r.prefilled += n
		if r.prefillLeft == 0 {
			s.cache.addPrompt(r.arrival, s.engine.CacheTokens)
			s.sendEvent(r, s.engine.FirstEventDelay)
		}
		return
	}
	if r.prefillLeft == 0 {
		r.generated += s.batch.count
		if r.generated%s.engine.TokensPerEvent == 0 {
			s.sendEvent(r, 0)
		}
	}
}

// sendEvent sends the next event of a request after a delay.
func (s *server) sendEvent(r *run, delay time.Duration) {
	n := r.resumeFrom + r.eventsSent
	r.eventsSent++
	last := n+1 >= r.arrival.events
	s.schedule.after(delay, func() { r.onEvent(n, last) })
	if last {
		r.over = true
		s.schedule.after(delay, func() { r.onEnd(true) })
	}
}

// cancel ends a request that nobody waits for any more.
func (s *server) cancel(r *run) {
	r.over = true
	for i, queued := range s.queue {
		if queued == r {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	s.interrupt()
}

// crash ends all requests, and empties the cache.
func (s *server) crash() {
	s.down, s.batch.active = true, false
	s.batch.id++
	all := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	s.cache = newPrefixCache()
	for _, r := range all {
		if !r.over {
			r.over = true
			r.onEnd(false)
		}
	}
}

// pendingPrefill is the true prefill that is left, in tokens of a server that is not slow.
func (s *server) pendingPrefill() (tokens float64) {
	for _, r := range s.running {
		tokens += float64(r.prefillLeft)
	}
	for _, r := range s.queue {
		tokens += float64(r.arrival.promptTokens())
	}
	return tokens * s.slowFactor
}

// streams is the number of running requests with long answers.
func (s *server) streams() (n float64) {
	for _, r := range s.running {
		if r.arrival.events*s.engine.TokensPerEvent > r.arrival.promptTokens() {
			n++
		}
	}
	return n
}

// prefixCache has the parts of prompts that were read. The least recently used ones are evicted.
type prefixCache struct {
	parts          map[uint64]*list.Element // cachedPart, by key
	byUse          *list.List               // least recently used first
	tokens         float64
	nextPrivateKey uint64 // of the part that a prompt shares with no other
}

// cachedPart is one part in the cache.
type cachedPart struct {
	key    uint64
	tokens int
}

// privateKeys marks the keys of parts that are not shared.
const privateKeys = 1 << 62

// newPrefixCache is an empty cache.
func newPrefixCache() prefixCache {
	return prefixCache{parts: map[uint64]*list.Element{}, byUse: list.New()}
}

// touch marks a part as used; false: it is not there.
func (c *prefixCache) touch(key uint64) bool {
	element, ok := c.parts[key]
	if ok {
		c.byUse.MoveToBack(element)
	}
	return ok
}

// addPrompt adds the parts of a prompt that was read, and evicts others down to a number of tokens.
func (c *prefixCache) addPrompt(a *arrival, maxTokens float64) {
	for _, p := range a.parts {
		c.add(p.key, p.tokens)
	}
	c.nextPrivateKey++
	c.add(privateKeys|c.nextPrivateKey, a.ownTokens)
	for c.tokens > maxTokens && c.byUse.Len() > 0 {
		oldest := c.byUse.Remove(c.byUse.Front()).(cachedPart)
		delete(c.parts, oldest.key)
		c.tokens -= float64(oldest.tokens)
	}
}

// add adds a part, or marks it as used.
func (c *prefixCache) add(key uint64, tokens int) {
	if c.touch(key) {
		return
	}
	c.parts[key] = c.byUse.PushBack(cachedPart{key, tokens})
	c.tokens += float64(tokens)
}

// prefixTokens is the tokens of a prompt that need not be read.
func (c *prefixCache) prefixTokens(a *arrival) (tokens int) {
	for _, p := range a.parts {
		if _, ok := c.parts[p.key]; !ok {
			break
		}
		tokens += p.tokens
	}
	return tokens
}
