package wiring

import (
	"context"
	"os"

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/counts"
)

// Reload reads the configuration again whenever asked to, until ctx ends. What cannot be read changes nothing.
func (s *Sidecar) Reload(ctx context.Context, path string, asked <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		c, err := config.Read(path)
		if err == nil {
			err = c.CheckName(s.name)
		}
		if err != nil {
			s.log.Error("the configuration stays as it was", "err", err)
			continue
		}
		s.core.Replace(s.source(c.Discovery))
		s.file.Store(&counts.File{Digest: c.Digest, Reloads: s.file.Load().Reloads + 1})
	}
}
