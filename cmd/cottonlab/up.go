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
	"cottonwell/internal/lab"
	"cottonwell/internal/tomlfile"
)

// sample is the shop that up starts if none is named.
const sample = "deploy/local/shop.toml"

// local is a shop to be looked at.
type local struct {
	Shop emulator.Spec `toml:"shop"`
	Room *config.Room  `toml:"room"`
}

// up starts a shop and its schedulers and plays the load over and over until ctx ends.
func up(ctx context.Context, args []string, o lab.Options, stdout io.Writer) error {
	file := sample
	if len(args) > 1 {
		return fmt.Errorf("%w: up takes one file at most", errUsage)
	}
	if len(args) == 1 {
		file = args[0]
	}
	var l local
	if err := tomlfile.Load(file, &l); err != nil {
		return bad(err)
	}
	if err := l.Shop.Check(); err != nil {
		return bad(fmt.Errorf("%s: shop: %w", file, err))
	}
	if o.Out != "" {
		if err := os.MkdirAll(o.Out, 0o755); err != nil {
			return bad(err)
		}
	}
	t, err := lab.StartReady(ctx, &l.Shop, o.Seed, &lab.Variant{Name: "local", Room: l.Room}, o)
	if err != nil {
		return err
	}
	defer t.Stop()
	fmt.Fprintf(stdout, "%d workers and %d schedulers are up. A request by hand, from the same load (Ctrl-C ends all):\n\n", len(l.Shop.Workers()), l.Shop.Schedulers)
	c := l.Shop.Classes[0]
	fmt.Fprintf(stdout, "  curl -i -X POST -H 'X-Txn: 00000000-9' -H 'X-Org: %s' -d '{}' http://%s/%s\n\n", l.Shop.Tenants[0].Name, t.Shop.Nodes()[0].Listen, c.Name)
	var mu sync.Mutex
	counts := map[string]int{}
	seen := func(status int) {
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
	played := make(chan struct{})
	go func() {
		defer close(played)
		for seed := o.Seed; ctx.Err() == nil; seed++ {
			t.Shop.Play(ctx, seed, seen)
		}
	}()
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			<-played
			fmt.Fprintln(stdout, "ending: the schedulers wind down")
			return nil
		case <-every.C:
		}
		if err := t.Dead(); err != nil {
			return err
		}
		slots, holds := t.Shop.Held()
		mu.Lock()
		line := fmt.Sprintf("%4d s  served %d  refused %d  failed %d  left %d  room held %d times, %.0f slots now  rules broken %v", n, counts["served"], counts["refused"], counts["failed"], counts["left"], holds, slots, t.Shop.Broken())
		mu.Unlock()
		fmt.Fprintln(stdout, line)
	}
}
