package main

import (
	"context"
	"log/slog"
	"os"

	"cottonwell/internal/config"
	"cottonwell/internal/net/discovery"
)

// reload takes up a configuration that was replaced under the running program. Its
// discovery is all that may change: limits, settings and addresses are those of the start.
type reload struct {
	path  string
	hup   <-chan os.Signal
	watch *discovery.Watcher
	log   *slog.Logger
}

// run reads the file again at each SIGHUP, until ctx ends. A file that cannot be read
// changes nothing.
func (r *reload) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
		}
		address, err := config.Discovery(r.path)
		if err != nil {
			r.log.Error("reload: the old configuration stays", "cause", err)
			continue
		}
		r.log.Info("reload", "discovery", address)
		r.watch.Move(address)
	}
}
