// Package discovery keeps a watch on the list of targets.
package discovery

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

const (
	dialFor  = 1000.0 // milliseconds
	firstFor = 3000.0 // until the first object: calls wait in turn there
	// An empty line comes every 2 s, so by then the watch is dead though TCP does not say so. What a silent watch
	// misses counts as told 6 s after it fell silent, and a new one has to be open by then.
	quietFor = 3500.0
	// emptyLineBy is when the next empty line has come at the latest, on a watch that has not fallen silent.
	emptyLineBy = 2150.0
)

// Watcher holds at most one watch open, and while it moves the one before beside it. It does not try again by itself: it
// tells of the failure, and whoever listens asks anew when it sees fit. (The decision module does so with a jittered
// backoff.)
type Watcher struct {
	Config
	asked chan struct{}

	mu       sync.Mutex
	moved    bool   // Address is new, and nobody has been asked there yet
	current  *watch // the one that was begun last, if it has not ended
	previous *watch // of the address before, until the new one has answered
}

// Config is what a watcher is made from.
type Config struct {
	Address string // the first one; Move names others
	Clock   clock.Clock
	Log     *slog.Logger
	Stack   *httpio.Stack
	// Tell receives every list, and an AskFailed after each watch that failed or ended.
	Tell func(core.Group)
	// SignOfLife receives when one was read on a watch whose first list has come. Nil: nobody wants to know.
	SignOfLife func(readAt float64)
	// Moved is called as the watcher moves to another address. Nil: nobody wants to know.
	Moved func()
	// Held says that a list is held at the start, and From is its version, which may be 0. Only what
	// changed since is asked for then: the whole list costs discovery work for each line, and after
	// a release all schedulers ask at once.
	Held bool
	From uint64
}

// Move goes to another address and asks there at once, without waiting for the module's
// next try. What is known of the targets holds until the new address answers. It is asked
// for the whole list: versions are counted by whoever gave them, and nobody says that the
// new address counts on from the old one's. Until it has answered, what the old address still
// tells is told on, as a change counts from when it was written; its signs of life are not, as it has
// no say any more in what is listed.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address {
		return
	}
	w.Address, w.moved = address, true
	if w.current != nil {
		w.current.leave()
	}
	if w.Moved != nil {
		w.Moved()
	}
	w.Watch()
}

// Watch asks for a watch. It does not block; while one is open it does nothing.
func (w *Watcher) Watch() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// New makes a watcher ready.
func New(cfg Config) *Watcher {
	return &Watcher{Config: cfg, asked: make(chan struct{}, 1)}
}

// Run holds the watches that are asked for, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		x := w.begin(ctx)
		all.Go(func() {
			defer close(x.ended)
			x.err = x.run()
		})
		select {
		case <-x.ended:
		case <-x.left:
		}
		if ctx.Err() != nil {
			return
		}
		w.end(x)
	}
}

// begin makes the next watch.
func (w *Watcher) begin(ctx context.Context) *watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		w.moved, w.Held, w.From = false, false, 0
	}
	x := &watch{Watcher: w, address: w.Address, held: w.Held, from: w.From, askedAt: w.Clock.Now(), left: make(chan struct{}), ended: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancel(ctx)
	w.current = x
	return x
}

// end takes note that a watch has ended, or that the watcher has moved away from it.
func (w *Watcher) end(x *watch) {
	w.mu.Lock()
	moves := w.moved
	w.current = nil
	if moves && x.listed && w.previous == nil {
		w.previous = x
	} else {
		x.cancel()
	}
	w.mu.Unlock()
	if moves {
		w.Log.Info("watch moves", "from", x.address)
		return // Move has asked already
	}
	w.Log.Warn("watch ended", "discovery", x.address, "index", w.From, "lasted_ms", w.Clock.Now()-x.askedAt, "cause", x.err)
	w.Tell(core.Group{Scope: balance.AskFailed})
}

// pulse passes on a stream of lists, one JSON object after the other in any layout, with white space between, and
// keeps the watch alive as it comes. White space is a sign of life only between objects, and an object only once: one
// that does not come whole in time is as good as silence.
type pulse struct {
	r      io.Reader
	now    func() float64
	alive  func() error
	beats  func()  // called at a sign of life that is no list
	within bool    // an object has begun
	readAt float64 // when anything was read last, in ms
	// begunAt is when the first byte of the latest object was read, in ms: what it says was true then, however long the
	// rest took.
	begunAt float64
	failed  error // of the stream
}

func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.readAt = p.now()
	}
	if n > 0 && !p.within && err == nil {
		if p.within = len(bytes.TrimSpace(b[:n])) > 0; p.within {
			p.begunAt = p.readAt
		} else {
			p.beats()
		}
		err = p.alive()
	}
	p.failed = err
	return n, err
}

// whole notes that an object has come whole, and whether the next one has begun.
func (p *pulse) whole(begun bool) error {
	if p.within = begun; begun {
		p.begunAt = p.readAt
	}
	return p.alive()
}
