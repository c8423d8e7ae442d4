package core

import (
	"context"
	"hash/fnv"
	"slices"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/upstream"
)

// server is one instance of the list, kept while it is listed or attempts need it.
type server struct {
	name string
	end  upstream.Endpoint
}

// watch opens the standing watch, in place of the one before, of which nothing more is heard.
func (l *Loop) watch() {
	if l.stopWatch != nil {
		l.stopWatch()
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	after, source := l.cursor.After(), l.source
	go func() {
		err := source.Watch(ctx, after, func(c member.List) {
			l.post(func() {
				if ctx.Err() == nil {
					l.called(c, nil)
				}
			})
		})
		l.post(func() {
			if ctx.Err() == nil { // not replaced
				stop()
				l.stopWatch = nil
				l.called(member.List{}, err)
			}
		})
	}()
}

// fetch asks for the whole list once. What it brings counts unless the source was replaced or told something newer.
func (l *Loop) fetch() {
	source := l.source
	go func() {
		c, err := source.Fetch(l.ctx)
		l.post(func() {
			if source == l.source && (err != nil || c.Generation >= l.cursor.Generation()) {
				l.called(c, err)
			}
		})
	}()
}

// called takes in what a call to the source brought. Where that does not count the list held stays, and the call has failed.
func (l *Loop) called(c member.List, err error) {
	if err == nil {
		if err = l.cursor.Accept(c); err != nil && l.stopWatch != nil { // else the next message would build on it
			l.stopWatch()
			l.stopWatch = nil
		}
	}
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.tell(balance.ServerList{Kind: balance.ListFailed})
		return
	}
	kind := balance.ListDelta
	if c.Complete {
		kind = balance.ListFull
	}
	l.list(c, kind)
}

// states are the module's names for the states of servers.
var states = [...]balance.ServerState{member.Up: balance.Ready, member.Draining: balance.Draining, member.Removed: balance.Removed}

// list takes in news of the servers that count.
func (l *Loop) list(c member.List, kind balance.ListKind) {
	listed, before := map[balance.ServerID]bool{}, l.ready
	ev := balance.ServerList{Kind: kind}
	for i := range c.Instances {
		in := &c.Instances[i]
		id := balance.ServerID(stableHash(in.ID))
		listed[id] = true
		if l.listed[in.ID] = *in; in.State == member.Removed {
			delete(l.listed, in.ID)
		}
		entry := balance.Server{
			ID: id, State: states[in.State], Capacity: in.Weight, Cell: in.Cell,
			Zone: max(0, slices.Index(l.config.Zones, in.Zone)),
			Kind: max(0, slices.Index(l.config.Kinds, in.Kind)),
		}
		if !in.Started.IsZero() {
			entry.StartedAt = l.clock.at(in.Started)
		}
		ev.Servers = append(ev.Servers, entry)
		s := l.servers[id]
		if s == nil && entry.State == balance.Removed {
			continue
		}
		if s == nil {
			s = &server{name: in.ID, end: l.up.NewEndpoint()}
			l.servers[id] = s
		}
		s.end.Update(in.Addr, entry.State == balance.Ready)
		if entry.State == balance.Removed { // attempts that are out keep what they need
			delete(l.servers, id)
		}
		if entry.State == balance.Ready {
			l.ready = true
		}
	}
	if kind != balance.ListDelta { // what the whole list does not name is gone
		for id := range l.listed {
			if !listed[balance.ServerID(stableHash(id))] {
				delete(l.listed, id)
			}
		}
		for id, s := range l.servers {
			if !listed[id] {
				s.end.Update("", false)
				delete(l.servers, id)
			}
		}
	}
	l.tell(ev)
	if l.ready && !before && l.config.OnServerAvailable != nil {
		l.config.OnServerAvailable()
	}
}

// Replace has another source tell of servers from now on. The list held stays until that one answers; requests and
// attempts go on. Generations may be counted anew there, so the whole list is asked for.
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

// stableHash is the same at every sidecar and after each restart.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
