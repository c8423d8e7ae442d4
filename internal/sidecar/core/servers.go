package core

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/upstream"
)

// server is one instance of the current list. Attempts keep it after it was removed from the list.
type server struct {
	name     string
	endpoint upstream.Endpoint
}

// watch opens a watch of the source and closes the previous one, whose lists are ignored from now on.
func (l *Loop) watch() {
	if l.stopWatch != nil {
		l.stopWatch()
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	after, source := l.cursor.After(), l.source
	go func() {
		err := source.Watch(ctx, after, func(list member.List) {
			l.post(func() {
				if ctx.Err() == nil {
					l.onSourceResult(list, nil)
				}
			})
		})
		l.post(func() {
			if ctx.Err() == nil { // it was not replaced
				stop()
				l.stopWatch = nil
				l.onSourceResult(member.List{}, err)
			}
		})
	}()
}

// fetch requests the complete list once. The result is ignored if the source was replaced or has delivered a newer list meanwhile.
func (l *Loop) fetch() {
	source := l.source
	go func() {
		list, err := source.Fetch(l.ctx)
		l.post(func() {
			if source == l.source && (err != nil || list.Generation >= l.cursor.Generation()) {
				l.onSourceResult(list, err)
			}
		})
	}()
}

// onSourceResult handles a list or an error of the source. If the list is not accepted the current one stays, and the call has failed.
func (l *Loop) onSourceResult(list member.List, err error) {
	if err == nil {
		if err = l.cursor.Accept(list); err != nil && l.stopWatch != nil { // the watch's next list would build on this one
			l.stopWatch()
			l.stopWatch = nil
		}
	}
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.notify(balance.ServerList{Kind: balance.ListFailed})
		return
	}
	kind := balance.ListDelta
	if list.Complete {
		kind = balance.ListFull
	}
	l.applyList(list, kind)
}

// balancerStates translates the states of servers to those of the module.
var balancerStates = [...]balance.ServerState{member.Up: balance.Ready, member.Draining: balance.Draining, member.Removed: balance.Removed}

// applyList updates the table of servers by an accepted list and passes the list to the module.
func (l *Loop) applyList(list member.List, kind balance.ListKind) {
	named, availableBefore := map[balance.ServerID]bool{}, l.serverAvailable
	event := balance.ServerList{Kind: kind}
	for i := range list.Instances {
		in := &list.Instances[i]
		entry := l.moduleEntry(in)
		named[entry.ID] = true
		event.Servers = append(event.Servers, entry)
		l.applyInstance(in, entry)
	}
	if kind != balance.ListDelta { // a server that a complete list does not name is gone
		l.removeUnnamed(named)
	}
	l.notify(event)
	if l.serverAvailable && !availableBefore && l.config.OnServerAvailable != nil {
		l.config.OnServerAvailable()
	}
}

// moduleEntry returns the module's form of an instance.
func (l *Loop) moduleEntry(in *member.Instance) balance.Server {
	entry := balance.Server{
		ID: balance.ServerID(stableHash(in.ID)), State: balancerStates[in.State], Capacity: in.Weight, Cell: in.Cell,
		Zone: max(0, slices.Index(l.config.Zones, in.Zone)),
		Kind: max(0, slices.Index(l.config.Kinds, in.Kind)),
	}
	if !in.Started.IsZero() {
		entry.StartedAt = l.clock.millisAt(in.Started)
	}
	return entry
}

// applyInstance updates the tables by one instance of a list.
func (l *Loop) applyInstance(in *member.Instance, entry balance.Server) {
	if l.instances[in.ID] = *in; in.State == member.Removed {
		delete(l.instances, in.ID)
	}
	s := l.servers[entry.ID]
	if s == nil && entry.State == balance.Removed {
		return
	}
	if s == nil {
		s = &server{name: in.ID, endpoint: l.endpoints.NewEndpoint()}
		l.servers[entry.ID] = s
	}
	s.endpoint.Update(in.Addr, entry.State == balance.Ready)
	if entry.State == balance.Removed { // attempts in flight keep the server
		delete(l.servers, entry.ID)
	}
	if entry.State == balance.Ready {
		l.serverAvailable = true
	}
}

// removeUnnamed removes the servers that a complete list does not name.
func (l *Loop) removeUnnamed(named map[balance.ServerID]bool) {
	for id := range l.instances {
		if !named[balance.ServerID(stableHash(id))] {
			delete(l.instances, id)
		}
	}
	for id, s := range l.servers {
		if !named[id] {
			s.endpoint.Update("", false)
			delete(l.servers, id)
		}
	}
}

// checkHealth sends a health check to a server and passes its outcome to the module.
func (l *Loop) checkHealth(id balance.ServerID) {
	s := l.servers[id]
	if s == nil {
		l.deferred = append(l.deferred, func() { l.notify(balance.ProbeResult{Server: id, Result: balance.ConnectFailed}) })
		return
	}
	began := time.Now()
	go func() {
		out := s.endpoint.CheckHealth(l.ctx)
		l.post(func() {
			l.notify(balance.ProbeResult{
				Server: id, Result: balancerResults[out.Result], Latency: toMillis(time.Since(began)), LoadReport: out.LoadReport,
			})
		})
	}()
}

// Replace makes another source the one that delivers servers. The current list stays until the new source has delivered its own;
// requests and attempts go on. The new source may number generations anew, so its complete list is requested.
func (l *Loop) Replace(source member.Source) {
	l.post(func() {
		moved := source.Name() != l.source.Name()
		l.log.Info("reloaded", "discovery", source.Name(), "moved", moved)
		if !moved {
			return
		}
		l.source = source
		l.cursor.Restart()
		l.watch()
	})
}

// stableHash returns a hash that is the same at every sidecar and after every restart.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
