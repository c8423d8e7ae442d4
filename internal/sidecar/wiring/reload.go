package wiring

import (
	"context"
	"os"

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/counts"
)

// Reload reads the configuration file again at each signal and switches to its discovery address, until ctx ends. A file that is not valid
// changes nothing.
func (s *Sidecar) Reload(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg, err := config.Read(path)
		if err == nil {
			err = cfg.CheckName(s.name)
		}
		if err != nil {
			s.log.Error("reload failed; keeping the current configuration", "err", err)
			continue
		}
		s.core.ReplaceSource(s.source(cfg.Discovery))
		s.loadedFile.Store(&counts.ConfigFile{Digest: cfg.Digest, Reloads: s.loadedFile.Load().Reloads + 1})
	}
}
