package routerscale

import (
	"errors"
	"fmt"
	"time"

	"petrelhook/internal/capacity"
)

// moments measures what happens when much is lost at once, while the servers' heartbeats go on.
func (m *members) moments(size, run int) ([]capacity.Point, error) {
	ready, err := m.restartAll()
	if err != nil {
		return nil, err
	}
	order, inForce, err := m.losePrimary()
	if err != nil {
		return nil, err
	}
	point := func(workload, role, metric string, took time.Duration) capacity.Point {
		return capacity.Point{Workload: workload, Role: role, Metric: metric, Size: size, Run: run, Value: float64(took.Microseconds())}
	}
	return []capacity.Point{
		point(Restart, RoleSidecar, ReadyAfter, ready),
		point(PrimaryLost, RolePrimary, OrderAfter, order),
		point(PrimaryLost, RoleSidecar, InForce, inForce),
	}, nil
}

// restartAll ends all hollow sidecars and starts them again at once; it tells how long the last of them took to be ready, with the
// configuration and all servers.
func (m *members) restartAll() (time.Duration, error) {
	count, version := len(m.hollow), m.hollow[0].Version()
	servers := m.hollow[0].Servers()
	m.stopHollow()
	began := time.Now()
	if err := m.startHollow(count); err != nil {
		return 0, err
	}
	err := m.until("all sidecars are ready after a restart of all", func() bool {
		for _, n := range m.hollow {
			if !n.Ready() || n.Version() < version || n.Servers() < servers {
				return false
			}
		}
		return true
	})
	return time.Since(began), err
}

// losePrimary kills the primary; it tells how long it takes until a change is acknowledged, and until it is in force everywhere.
func (m *members) losePrimary() (order, inForce time.Duration, err error) {
	first, generation := -1, int64(0)
	for i := range m.core {
		s, err := m.status(i)
		if err != nil {
			return 0, 0, err
		}
		if s.Primary {
			first, generation = i, s.Generation
		}
	}
	if first < 0 {
		return 0, 0, errors.New("no router of the core is primary")
	}
	version := m.hollow[0].Version()
	began := time.Now()
	if err := m.core[first].Process.Kill(); err != nil {
		return 0, 0, err
	}
	body := fmt.Sprintf(`{"Generation":%d,"Upsert":{"Routes":[%s]}}`, generation+1, route(0, 777))
	if err := m.order("/-/config/update", int(generation), body); err != nil {
		return 0, 0, err
	}
	order = time.Since(began)
	err = m.until("a change is in force after the primary was lost", func() bool { return m.behind(version+1) == 0 })
	return order, time.Since(began), err
}
