package core

import (
	"hash/fnv"

	"petrelhook/internal/member"
)

// Replace has another source tell of servers from now on. The list held stays until that one answers; requests and
// attempts go on. Generations may be counted anew there, so the whole list is asked for.
func (l *Loop) Replace(source member.Source) {
	l.post(func() {
		moved := source.Name() != l.source.Name()
		l.log.Info("reloaded", "discovery", source.Name(), "moved", moved)
		if !moved {
			return
		}
		l.source, l.generation = source, 0
		if l.stopWatch != nil || l.config.Module.Subscribe {
			l.watch()
		}
	})
}

// stableHash is the same at every sidecar and after each restart.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
