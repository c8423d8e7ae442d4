package wiring

import (
	"context"
	"os"

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/counts"
)

// Reload reads the configuration again whenever asked to, until ctx ends. What cannot be read changes nothing.
func (s *Sidecar) Reload(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		c, err := config.Read(path)
		if err == nil {
			err = c.For(s.name)
		}
		if err != nil {
			s.log.Error("the configuration stays as it was", "err", err)
			continue
		}
		s.core.Replace(s.source(c.Discovery))
		s.loadedFile.Store(&counts.File{Digest: c.Digest, Reloads: s.loadedFile.Load().Reloads + 1})
	}
}
