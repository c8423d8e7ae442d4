package scale

import (
	"context"
	"time"

	"petrelhook/internal/rig/usage"
)

// observation is what is measured from outside at one moment.
type observation struct {
	coordinators [coordinators]struct {
		usage.Usage
		peers traffic
		log   uint64 // index of the last entry applied
	}
	memberProcesses []usage.Usage
	samples         []*sample

	agents, sidecars []usage.Usage // of real machines
	agentTraffic     []traffic     // of all real agents, by coordinator in the order of realMachines
}

// observe measures all processes of a run.
func (r *run) observe(ctx context.Context) (s *observation, err error) {
	s = &observation{}
	answers, err := r.members.sample(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range answers {
		s.samples = append(s.samples, a.Sample)
	}
	for i, c := range r.group.all {
		at := &s.coordinators[i]
		at.peers = r.group.peerTraffic(i)
		if at.Usage, err = usage.Of(c.Pid); err != nil {
			return nil, err
		}
	}
	for _, m := range r.members.all {
		u, err := usage.Of(m.Pid)
		if err != nil {
			return nil, err
		}
		s.memberProcesses = append(s.memberProcesses, u)
	}
	if r.machines != nil {
		s.agentTraffic = r.machines.traffic()
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

// rates are what happened a second between two observations, and levels at the second. Bytes and messages of a coordinator are
// those it exchanged with members and with the other coordinators.
type rates struct {
	cpuMicros                 float64 // µs a second
	memoryBytes               float64
	descriptors, connections  float64
	bytesIn, bytesOut         float64 // bytes a second
	messagesIn, messagesOut   float64
	peerBytesIn, peerBytesOut float64 // of the bytes, those between coordinators
	logEntries                float64 // entries a second
}

// coordinatorRates are the rates of coordinator i, whose traffic with members has the key name in their samples.
func coordinatorRates(a, b *observation, i int, name string) rates {
	was, is := &a.coordinators[i], &b.coordinators[i]
	took := seconds(is.At - was.At)
	peers := is.peers.minus(was.peers)
	v := rates{cpuMicros: float64((is.CPU-was.CPU)/time.Microsecond) / took, memoryBytes: float64(is.Memory),
		descriptors: float64(is.Descriptors), connections: float64(is.Connections),
		peerBytesIn: float64(peers.In) / took, peerBytesOut: float64(peers.Out) / took,
		messagesIn: float64(peers.MessagesIn) / took, messagesOut: float64(peers.MessagesOut) / took,
		logEntries: float64(is.log-was.log) / took}
	v.bytesIn, v.bytesOut = v.peerBytesIn, v.peerBytesOut
	for n := range b.samples {
		t := b.samples[n].Traffic[name].minus(a.samples[n].Traffic[name])
		took := seconds(b.samples[n].Time - a.samples[n].Time)
		v.bytesIn += float64(t.In) / took
		v.bytesOut += float64(t.Out) / took
		v.messagesIn += float64(t.MessagesIn) / took
		v.messagesOut += float64(t.MessagesOut) / took
	}
	return v
}

// withAgents adds what real agents exchanged with the coordinator of index n in agentTraffic. Their open connections are in the
// coordinator's rates already.
func (v rates) withAgents(a, b *observation, n int) rates {
	took := seconds(b.samples[0].Time - a.samples[0].Time)
	t := b.agentTraffic[n].minus(a.agentTraffic[n])
	v.bytesIn += float64(t.In) / took
	v.bytesOut += float64(t.Out) / took
	v.messagesIn += float64(t.MessagesIn) / took
	v.messagesOut += float64(t.MessagesOut) / took
	return v
}

// machineRates are the rates of one real agent and of one sidecar: the means of all. Traffic between an agent and its sidecar,
// and all traffic of sidecars, is not in them.
func machineRates(a, b *observation) (agent, sidecar rates) {
	agent, sidecar = usageRates(a.agents, b.agents), usageRates(a.sidecars, b.sidecars)
	took := seconds(b.samples[0].Time - a.samples[0].Time)
	of := 1 / float64(len(b.agents))
	for n := range b.agentTraffic {
		t := b.agentTraffic[n].minus(a.agentTraffic[n])
		agent.bytesIn += of * float64(t.Out) / took // what it receives, the coordinators send
		agent.bytesOut += of * float64(t.In) / took
		agent.messagesIn += of * float64(t.MessagesOut) / took
		agent.messagesOut += of * float64(t.MessagesIn) / took
	}
	return agent, sidecar
}

// usageRates are the means of some processes.
func usageRates(a, b []usage.Usage) (v rates) {
	of := 1 / float64(len(b))
	for n := range b {
		took := seconds(b[n].At - a[n].At)
		v.cpuMicros += of * float64((b[n].CPU-a[n].CPU)/time.Microsecond) / took
		v.memoryBytes += of * float64(b[n].Memory)
		v.descriptors += of * float64(b[n].Descriptors)
		v.connections += of * float64(b[n].Connections)
	}
	return v
}

// memberRates are the rates of one hollow member: the mean of all.
func memberRates(a, b *observation, members int) (v rates) {
	of := 1 / float64(members)
	for n := range b.memberProcesses {
		took := seconds(b.memberProcesses[n].At - a.memberProcesses[n].At)
		v.cpuMicros += of * float64((b.memberProcesses[n].CPU-a.memberProcesses[n].CPU)/time.Microsecond) / took
		v.memoryBytes += of * float64(b.memberProcesses[n].Memory)
		v.descriptors += of * float64(b.memberProcesses[n].Descriptors)
		v.connections += of * float64(b.memberProcesses[n].Connections)
		took = seconds(b.samples[n].Time - a.samples[n].Time)
		for name := range b.samples[n].Traffic {
			t := b.samples[n].Traffic[name].minus(a.samples[n].Traffic[name])
			v.bytesIn += of * float64(t.Out) / took // what it receives, the coordinators send
			v.bytesOut += of * float64(t.In) / took
			v.messagesIn += of * float64(t.MessagesOut) / took
			v.messagesOut += of * float64(t.MessagesIn) / took
		}
	}
	return v
}

// mean is the mean of some rates, by field.
func mean(all ...rates) (m rates) {
	of := 1 / float64(len(all))
	for _, v := range all {
		m.cpuMicros += of * v.cpuMicros
		m.memoryBytes += of * v.memoryBytes
		m.descriptors += of * v.descriptors
		m.connections += of * v.connections
		m.bytesIn += of * v.bytesIn
		m.bytesOut += of * v.bytesOut
		m.messagesIn += of * v.messagesIn
		m.messagesOut += of * v.messagesOut
		m.peerBytesIn += of * v.peerBytesIn
		m.peerBytesOut += of * v.peerBytesOut
		m.logEntries += of * v.logEntries
	}
	return m
}

// addProcess adds the metrics of a role that are measured of its process, under names with their units.
func (v rates) addProcess(add func(role, metric string, value float64), role string) {
	add(role, "cpu_us_s", v.cpuMicros)
	add(role, "memory_bytes", v.memoryBytes)
	add(role, "descriptors", v.descriptors)
	add(role, "connections", v.connections)
}

// addAll adds the metrics of any role that exchanges messages, under names with their units.
func (v rates) addAll(add func(role, metric string, value float64), role string) {
	v.addProcess(add, role)
	add(role, "bytes_in_s", v.bytesIn)
	add(role, "bytes_out_s", v.bytesOut)
	add(role, "messages_in_s", v.messagesIn)
	add(role, "messages_out_s", v.messagesOut)
}

// addReplica adds the metrics that only coordinators have.
func (v rates) addReplica(add func(role, metric string, value float64), role string) {
	add(role, "peer_bytes_in_s", v.peerBytesIn)
	add(role, "peer_bytes_out_s", v.peerBytesOut)
	add(role, "log_entries_s", v.logEntries)
}

// seconds converts nanoseconds, to at least one, so that a rate can be divided by it.
func seconds(ns int64) float64 { return max(float64(ns)/1e9, 1e-9) }
