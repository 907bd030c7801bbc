package main

import (
	"context"
	"log/slog"
	"os"

	"cottonwell/internal/config"
	"cottonwell/internal/net/discovery"
)

// reloadHandler applies a configuration file that was replaced while the program runs. Only the discovery address is applied:
// limits, settings and the other addresses remain those of the start.
type reloadHandler struct {
	configPath string
	hup        <-chan os.Signal
	watcher    *discovery.Watcher
	log        *slog.Logger
	// logFleet logs the known state of the fleet; nil if disabled.
	logFleet func()
	// publishRules reads the fleet's rules again and publishes them; nil without agreed rules.
	publishRules func() error
}

// run logs the fleet, publishes the rules and reads the configuration at each SIGHUP, until ctx ends. A file that cannot be
// read changes nothing.
func (r *reloadHandler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
		}
		if r.logFleet != nil {
			r.logFleet()
		}
		if r.publishRules != nil {
			if err := r.publishRules(); err != nil {
				r.log.Error("reload: the old rules stay", "cause", err)
			}
		}
		address, err := config.ReadDiscoveryAddress(r.configPath)
		if err != nil {
			r.log.Error("reload: the old configuration stays", "cause", err)
			continue
		}
		r.log.Info("reload", "discovery", address)
		r.watcher.SetAddress(address)
	}
}
