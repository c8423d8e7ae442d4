package scale

import (
	"context"

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
	for i, c := range r.group.replicas {
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
