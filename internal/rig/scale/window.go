package scale

import (
	"context"
	"time"

	"petrelhook/internal/rig/usage"
)

// seen is all that is seen from outside at one moment.
type seen struct {
	coordinators [coordinators]struct {
		usage.Usage
		peers traffic
		log   uint64 // entries that were ever applied
	}
	crew    []usage.Usage
	samples []*sample

	agents, sidecars []usage.Usage // real ones
	ways             []traffic     // of all real agents, by coordinator in the order of machines
}

// see looks at all processes of a run.
func (r *run) see(ctx context.Context) (s *seen, err error) {
	s = &seen{}
	answers, err := r.crew.sample(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range answers {
		s.samples = append(s.samples, a.Sample)
	}
	for i, c := range r.group.all {
		at := &s.coordinators[i]
		at.peers = r.group.carried(i)
		if at.Usage, err = usage.Of(c.Pid); err != nil {
			return nil, err
		}
	}
	for _, m := range r.crew.all {
		u, err := usage.Of(m.Pid)
		if err != nil {
			return nil, err
		}
		s.crew = append(s.crew, u)
	}
	if r.machines != nil {
		s.ways = r.machines.carried()
		if s.agents, s.sidecars, err = r.machines.usages(); err != nil {
			return nil, err
		}
	}
	for i, st := range r.group.status(ctx) {
		if st != nil {
			s.coordinators[i].log = st.Applied
		}
	}
	return s, nil
}

// rates is what went on between two moments. Bytes and messages of a coordinator are those with members and with the
// others.
type rates struct {
	cpu                     float64 // µs a second
	memory                  float64
	descriptors, open       float64
	in, out                 float64 // bytes a second
	messagesIn, messagesOut float64
	peerIn, peerOut         float64 // of the bytes, those between coordinators
	log                     float64 // entries a second
}

// between is the rates of a coordinator, whose traffic with members goes by a name in their samples.
func between(a, b *seen, i int, name string) rates {
	was, is := &a.coordinators[i], &b.coordinators[i]
	took := seconds(is.At - was.At)
	peers := is.peers.minus(was.peers)
	v := rates{cpu: float64((is.CPU-was.CPU)/time.Microsecond) / took, memory: float64(is.Memory),
		descriptors: float64(is.Descriptors), open: float64(is.Connections),
		peerIn: float64(peers.In) / took, peerOut: float64(peers.Out) / took,
		messagesIn: float64(peers.MessagesIn) / took, messagesOut: float64(peers.MessagesOut) / took,
		log: float64(is.log-was.log) / took}
	v.in, v.out = v.peerIn, v.peerOut
	for n := range b.samples {
		t := b.samples[n].Of[name].minus(a.samples[n].Of[name])
		took := seconds(b.samples[n].At - a.samples[n].At)
		v.in += float64(t.In) / took
		v.out += float64(t.Out) / took
		v.messagesIn += float64(t.MessagesIn) / took
		v.messagesOut += float64(t.MessagesOut) / took
	}
	return v
}

// withAgents adds what real agents exchange with a coordinator, which has the place n in the order of the ways; open
// connections are in the coordinator's own.
func (v rates) withAgents(a, b *seen, n int) rates {
	took := seconds(b.samples[0].At - a.samples[0].At)
	t := b.ways[n].minus(a.ways[n])
	v.in += float64(t.In) / took
	v.out += float64(t.Out) / took
	v.messagesIn += float64(t.MessagesIn) / took
	v.messagesOut += float64(t.MessagesOut) / took
	return v
}

// betweenMachines is the rates of one real agent and of one sidecar, the means of all. What an agent exchanges with
// its sidecar and what a sidecar exchanges at all is not in them.
func betweenMachines(a, b *seen) (agent, sidecar rates) {
	agent, sidecar = betweenUsages(a.agents, b.agents), betweenUsages(a.sidecars, b.sidecars)
	took := seconds(b.samples[0].At - a.samples[0].At)
	of := 1 / float64(len(b.agents))
	for n := range b.ways {
		t := b.ways[n].minus(a.ways[n])
		agent.in += of * float64(t.Out) / took // what it receives, the coordinators send
		agent.out += of * float64(t.In) / took
		agent.messagesIn += of * float64(t.MessagesOut) / took
		agent.messagesOut += of * float64(t.MessagesIn) / took
	}
	return agent, sidecar
}

// betweenUsages is the mean of some processes.
func betweenUsages(a, b []usage.Usage) (v rates) {
	of := 1 / float64(len(b))
	for n := range b {
		took := seconds(b[n].At - a[n].At)
		v.cpu += of * float64((b[n].CPU-a[n].CPU)/time.Microsecond) / took
		v.memory += of * float64(b[n].Memory)
		v.descriptors += of * float64(b[n].Descriptors)
		v.open += of * float64(b[n].Connections)
	}
	return v
}

// betweenMembers is the rates of one member, the mean of all.
func betweenMembers(a, b *seen, members int) (v rates) {
	of := 1 / float64(members)
	for n := range b.crew {
		took := seconds(b.crew[n].At - a.crew[n].At)
		v.cpu += of * float64((b.crew[n].CPU-a.crew[n].CPU)/time.Microsecond) / took
		v.memory += of * float64(b.crew[n].Memory)
		v.descriptors += of * float64(b.crew[n].Descriptors)
		v.open += of * float64(b.crew[n].Connections)
		took = seconds(b.samples[n].At - a.samples[n].At)
		for name := range b.samples[n].Of {
			t := b.samples[n].Of[name].minus(a.samples[n].Of[name])
			v.in += of * float64(t.Out) / took // what it receives, the coordinators send
			v.out += of * float64(t.In) / took
			v.messagesIn += of * float64(t.MessagesOut) / took
			v.messagesOut += of * float64(t.MessagesIn) / took
		}
	}
	return v
}

// mean is that of some rates.
func mean(all ...rates) (m rates) {
	of := 1 / float64(len(all))
	for _, v := range all {
		m.cpu += of * v.cpu
		m.memory += of * v.memory
		m.descriptors += of * v.descriptors
		m.open += of * v.open
		m.in += of * v.in
		m.out += of * v.out
		m.messagesIn += of * v.messagesIn
		m.messagesOut += of * v.messagesOut
		m.peerIn += of * v.peerIn
		m.peerOut += of * v.peerOut
		m.log += of * v.log
	}
	return m
}

// process are those of a role that are seen of its process, with their units.
func (v rates) process(add func(role, metric string, value float64), role string) {
	add(role, "cpu_us_s", v.cpu)
	add(role, "memory_bytes", v.memory)
	add(role, "descriptors", v.descriptors)
	add(role, "connections", v.open)
}

// points are the rates' of a role, with their units.
func (v rates) points(add func(role, metric string, value float64), role string) {
	v.process(add, role)
	add(role, "bytes_in_s", v.in)
	add(role, "bytes_out_s", v.out)
	add(role, "messages_in_s", v.messagesIn)
	add(role, "messages_out_s", v.messagesOut)
}

// replica are those that only coordinators have.
func (v rates) replica(add func(role, metric string, value float64), role string) {
	add(role, "peer_bytes_in_s", v.peerIn)
	add(role, "peer_bytes_out_s", v.peerOut)
	add(role, "log_entries_s", v.log)
}

func seconds(ns int64) float64 { return max(float64(ns)/1e9, 1e-9) }
