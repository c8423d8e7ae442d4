package wiring

import (
	"context"
	"fmt"
	"os"

	"petrelhook/internal/config"
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
		if err == nil && c.Name != s.name && c.Name != "" { // not one customer's servers for another's
			err = fmt.Errorf("%s is of %q, and this is %q", path, c.Name, s.name)
		}
		if err != nil {
			s.log.Error("the configuration stays as it was", "err", err)
			continue
		}
		s.core.Replace(s.source(c.Discovery))
	}
}
