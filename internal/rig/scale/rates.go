package scale

import (
	"time"

	"petrelhook/internal/rig/usage"
)

// rates are what happened per second between two observations, and levels at the later one. Bytes and messages of a coordinator are
// those that it exchanged with members and with the other coordinators.
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
func coordinatorRates(before, after *observation, i int, name string) rates {
	first, last := &before.coordinators[i], &after.coordinators[i]
	window := seconds(last.Time - first.Time)
	peers := last.peers.minus(first.peers)
	v := rates{cpuMicros: float64((last.CPU-first.CPU)/time.Microsecond) / window, memoryBytes: float64(last.Memory),
		descriptors: float64(last.Descriptors), connections: float64(last.Connections),
		peerBytesIn: float64(peers.In) / window, peerBytesOut: float64(peers.Out) / window,
		messagesIn: float64(peers.MessagesIn) / window, messagesOut: float64(peers.MessagesOut) / window,
		logEntries: float64(last.log-first.log) / window}
	v.bytesIn, v.bytesOut = v.peerBytesIn, v.peerBytesOut
	for n := range after.samples {
		t := after.samples[n].Traffic[name].minus(before.samples[n].Traffic[name])
		window := seconds(after.samples[n].Time - before.samples[n].Time)
		v.bytesIn += float64(t.In) / window
		v.bytesOut += float64(t.Out) / window
		v.messagesIn += float64(t.MessagesIn) / window
		v.messagesOut += float64(t.MessagesOut) / window
	}
	return v
}

// withAgents adds what real agents exchanged with the coordinator of index n in agentTraffic. Their open connections are in the
// coordinator's rates already.
func (v rates) withAgents(before, after *observation, n int) rates {
	took := seconds(after.samples[0].Time - before.samples[0].Time)
	t := after.agentTraffic[n].minus(before.agentTraffic[n])
	v.bytesIn += float64(t.In) / took
	v.bytesOut += float64(t.Out) / took
	v.messagesIn += float64(t.MessagesIn) / took
	v.messagesOut += float64(t.MessagesOut) / took
	return v
}

// machineRates are the rates of one real agent and of one sidecar: the means of all. Traffic between an agent and its sidecar,
// and all traffic of sidecars, is not in them.
func machineRates(before, after *observation) (agent, sidecar rates) {
	agent, sidecar = usageRates(before.agents, after.agents), usageRates(before.sidecars, after.sidecars)
	took := seconds(after.samples[0].Time - before.samples[0].Time)
	fraction := 1 / float64(len(after.agents))
	for n := range after.agentTraffic {
		t := after.agentTraffic[n].minus(before.agentTraffic[n])
		agent.bytesIn += fraction * float64(t.Out) / took // what it receives, the coordinators send
		agent.bytesOut += fraction * float64(t.In) / took
		agent.messagesIn += fraction * float64(t.MessagesOut) / took
		agent.messagesOut += fraction * float64(t.MessagesIn) / took
	}
	return agent, sidecar
}

// usageRates are the means of some processes.
func usageRates(before, after []usage.Usage) (v rates) {
	fraction := 1 / float64(len(after))
	for n := range after {
		took := seconds(after[n].Time - before[n].Time)
		v.cpuMicros += fraction * float64((after[n].CPU-before[n].CPU)/time.Microsecond) / took
		v.memoryBytes += fraction * float64(after[n].Memory)
		v.descriptors += fraction * float64(after[n].Descriptors)
		v.connections += fraction * float64(after[n].Connections)
	}
	return v
}

// memberRates are the rates of one hollow member: the mean of all.
func memberRates(before, after *observation, members int) (v rates) {
	fraction := 1 / float64(members)
	for n := range after.memberProcesses {
		took := seconds(after.memberProcesses[n].Time - before.memberProcesses[n].Time)
		v.cpuMicros += fraction * float64((after.memberProcesses[n].CPU-before.memberProcesses[n].CPU)/time.Microsecond) / took
		v.memoryBytes += fraction * float64(after.memberProcesses[n].Memory)
		v.descriptors += fraction * float64(after.memberProcesses[n].Descriptors)
		v.connections += fraction * float64(after.memberProcesses[n].Connections)
		took = seconds(after.samples[n].Time - before.samples[n].Time)
		for name := range after.samples[n].Traffic {
			t := after.samples[n].Traffic[name].minus(before.samples[n].Traffic[name])
			v.bytesIn += fraction * float64(t.Out) / took // what it receives, the coordinators send
			v.bytesOut += fraction * float64(t.In) / took
			v.messagesIn += fraction * float64(t.MessagesOut) / took
			v.messagesOut += fraction * float64(t.MessagesIn) / took
		}
	}
	return v
}

// mean is the mean of some rates, by field.
func mean(all ...rates) (m rates) {
	fraction := 1 / float64(len(all))
	for _, v := range all {
		m.cpuMicros += fraction * v.cpuMicros
		m.memoryBytes += fraction * v.memoryBytes
		m.descriptors += fraction * v.descriptors
		m.connections += fraction * v.connections
		m.bytesIn += fraction * v.bytesIn
		m.bytesOut += fraction * v.bytesOut
		m.messagesIn += fraction * v.messagesIn
		m.messagesOut += fraction * v.messagesOut
		m.peerBytesIn += fraction * v.peerBytesIn
		m.peerBytesOut += fraction * v.peerBytesOut
		m.logEntries += fraction * v.logEntries
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
