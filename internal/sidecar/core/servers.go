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

// server is one instance of the current list. Attempts keep a reference to it after it was removed from the list.
type server struct {
	name     string
	endpoint upstream.Endpoint
}

// watch closes the open watch, if there is one, and opens a new one at the current source. Lists of the closed watch that are
// already queued are ignored.
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
			if ctx.Err() == nil { // the watch was not replaced
				stop()
				l.stopWatch = nil
				l.onSourceResult(member.List{}, err)
			}
		})
	}()
}

// fetch requests the complete list once. The result is ignored if the source was replaced, or has delivered a newer list
// meanwhile.
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

// onSourceResult handles a list or an error of the source. A list that is not accepted counts as an error; the current list
// stays.
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

// balancerStates maps the states of instances to those of the module.
var balancerStates = [...]balance.ServerState{member.Up: balance.Ready, member.Draining: balance.Draining, member.Removed: balance.Removed}

// applyList updates the tables of servers from an accepted list and passes the list to the module.
func (l *Loop) applyList(list member.List, kind balance.ListKind) {
	listed, availableBefore := map[balance.ServerID]bool{}, l.serverAvailable
	event := balance.ServerList{Kind: kind}
	for i := range list.Instances {
		in := &list.Instances[i]
		entry := l.moduleEntry(in)
		listed[entry.ID] = true
		event.Servers = append(event.Servers, entry)
		l.applyInstance(in, entry)
	}
	if kind != balance.ListDelta { // the list is complete
		l.removeUnlisted(listed)
	}
	l.notify(event)
	if l.serverAvailable && !availableBefore && l.config.OnServerAvailable != nil {
		l.config.OnServerAvailable()
	}
}

// moduleEntry converts an instance to the module's representation of a server.
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

// applyInstance updates the tables from one instance of a list and its entry for the module.
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
	if entry.State == balance.Removed { // attempts in flight keep their reference
		delete(l.servers, entry.ID)
	}
	if entry.State == balance.Ready {
		l.serverAvailable = true
	}
}

// removeUnlisted removes the servers that a complete list does not contain.
func (l *Loop) removeUnlisted(listed map[balance.ServerID]bool) {
	for id := range l.instances {
		if !listed[balance.ServerID(stableHash(id))] {
			delete(l.instances, id)
		}
	}
	for id, s := range l.servers {
		if !listed[id] {
			s.endpoint.Update("", false)
			delete(l.servers, id)
		}
	}
}

// checkHealth sends a health check to a server and passes its outcome to the module. A server that is no longer in the table
// counts as unreachable.
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

// ReplaceSource replaces the source of the lists, unless the new one has the same name. The current list stays until the new
// source has delivered its own; requests and attempts go on. The new source may number its generations differently, so its
// complete list is requested.
func (l *Loop) ReplaceSource(source member.Source) {
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

// stableHash returns a hash of text that is the same in every sidecar and after every restart.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
