package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"cottonwell/internal/config"
	"cottonwell/internal/emulator"
	"cottonwell/internal/experiment"
	"cottonwell/internal/tomlfile"
)

// defaultFile is the site that up starts if its command line names none.
const defaultFile = "deploy/local/shop.toml"

// localSite is the file of a site for manual tests.
type localSite struct {
	Site         emulator.Spec        `toml:"shop"`
	Reservations *config.Reservations `toml:"room"`
}

// up starts a site and its schedulers, repeats the site's load and prints counters every second until ctx ends.
func up(ctx context.Context, args []string, options experiment.Options, stdout io.Writer) error {
	file := defaultFile
	if len(args) > 1 {
		return fmt.Errorf("%w: up takes at most one file", errUsage)
	}
	if len(args) == 1 {
		file = args[0]
	}
	var site localSite
	if err := tomlfile.Load(file, &site); err != nil {
		return usageError(err)
	}
	if err := site.Site.Check(); err != nil {
		return usageError(fmt.Errorf("%s: shop: %w", file, err))
	}
	if options.Out != "" {
		if err := os.MkdirAll(options.Out, 0o755); err != nil {
			return usageError(err)
		}
	}
	testbed, err := experiment.StartReady(ctx, &site.Site, options.Seed, &experiment.Variant{Name: "local", Reservations: site.Reservations}, options)
	if err != nil {
		return err
	}
	defer testbed.Stop()
	fmt.Fprintf(stdout, "%d workers and %d schedulers are running. Send a request of the same load with the command below; Ctrl-C stops all:\n\n", len(site.Site.Workers()), site.Site.Schedulers)
	class := site.Site.Classes[0]
	fmt.Fprintf(stdout, "  curl -i -X POST -H 'X-Txn: 00000000-9' -H 'X-Org: %s' -d '{}' http://%s/%s\n\n", site.Site.Tenants[0].Name, testbed.Site.Nodes()[0].Listen, class.Name)
	var mu sync.Mutex
	counts := map[string]int{}
	countStatus := func(status int) {
		mu.Lock()
		defer mu.Unlock()
		switch status {
		case 200:
			counts["served"]++
		case 429, 503:
			counts["refused"]++
		case 0:
			counts["left"]++
		default:
			counts["failed"]++
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for seed := options.Seed; ctx.Err() == nil; seed++ {
			testbed.Site.RunLoad(ctx, seed, countStatus)
		}
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			<-done
			fmt.Fprintln(stdout, "stopping: graceful shutdown of the schedulers")
			return nil
		case <-ticker.C:
		}
		if err := testbed.UnexpectedExit(); err != nil {
			return err
		}
		slots, reservations := testbed.Site.ReservedSlots()
		mu.Lock()
		line := fmt.Sprintf("%4d s  served %d  refused %d  failed %d  left %d  reservations %d, %.0f slots now  rules broken %v", n, counts["served"], counts["refused"], counts["failed"], counts["left"], reservations, slots, testbed.Site.Violations())
		mu.Unlock()
		fmt.Fprintln(stdout, line)
	}
}
