package handover

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/core"
)

const wait = 8 * time.Second

type process struct {
	mu         sync.Mutex
	ready      bool
	news       []core.TargetNews
	maintained map[string]bool
}

func (p *process) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

func (p *process) News(n core.TargetNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = append(p.news, n)
}

func (p *process) Maintain(target string, offline bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maintained[target] = offline
}

func (p *process) Maintained() (targets []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, offline := range p.maintained {
		if offline {
			targets = append(targets, target)
		}
	}
	return targets
}

// open opens a link as if by a process of this number.
func open(t *testing.T, dir, name, listen, number string) (*Link, *process) {
	p := &process{maintained: map[string]bool{}}
	l, err := Open(dir, name, listen, p, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	own := strings.TrimSuffix(l.path, filepath.Ext(l.path)) + number + ".sock" // all are this process
	require.NoError(t, os.Rename(l.path, own))
	l.path = own
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return l, p
}

func TestWordsReachTheOtherProcess(t *testing.T) {
	dir := t.TempDir()
	first, old := open(t, dir, "n0", ":1", "1")
	require.False(t, first.OtherReady())
	require.Empty(t, first.Inherited())
	first.PassOn(core.TargetNews{ID: "nobody's"}) // goes nowhere
	require.Eventually(t, func() bool { return len(first.words) == 0 }, wait, time.Millisecond)
	old.Maintain("s-1", true)
	old.Maintain("s-2", false)
	old.ready = true

	second, young := open(t, dir, "n0", ":1", "2")
	_, stranger := open(t, dir, "n1", ":1", "3")
	_, namesake := open(t, dir, "n0", ":2", "4")
	require.True(t, second.OtherReady())
	require.False(t, first.OtherReady())
	require.Equal(t, []string{"s-1"}, second.Inherited())
	news := core.TargetNews{ID: "x", From: "s-1", Result: balance.OK, Body: "done", Report: balance.Report{Present: true, Free: 2, InFlight: 1}}
	second.PassOn(news)
	second.Maintain("s-3", true)
	news.PassedOn = true
	require.Eventually(t, func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return len(old.news) == 1 && old.maintained["s-3"]
	}, wait, time.Millisecond)
	require.Equal(t, []core.TargetNews{news}, old.news)
	require.Empty(t, young.news)
	require.Empty(t, stranger.news, "another scheduler's")
	require.Empty(t, namesake.news, "another one's of that name")
	require.Eventually(t, func() bool { return second.Counts.PassedOn.Load() == 2 }, wait, time.Millisecond)
}

// The socket of a process that was killed is removed; one that hangs keeps nobody waiting for long, and what is told to it
// beyond the bound is dropped.
func TestOtherProcessThatIsDeadOrHangs(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, "n0", ":1", "1")
	dead := strings.Replace(l.path, "1.sock", "2.sock", 1)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: dead, Net: "unix"})
	require.NoError(t, err)
	ln.SetUnlinkOnClose(false)
	require.NoError(t, ln.Close())
	require.False(t, l.OtherReady())
	require.NoFileExists(t, dead)

	hangs, err := net.Listen("unix", dead)
	require.NoError(t, err)
	defer hangs.Close()
	begun := time.Now()
	require.False(t, l.OtherReady())
	require.Less(t, time.Since(begun), wait)
	for range wordsMost + 10 {
		l.PassOn(core.TargetNews{ID: "x"})
	}
	require.Positive(t, l.Counts.Dropped.Load())
	require.Zero(t, l.Counts.PassedOn.Load())
}

func TestPathsThatAreTooLong(t *testing.T) {
	_, err := Open(filepath.Join(t.TempDir(), strings.Repeat("x", pathMost)), "n0", ":1", &process{}, slog.Default())
	require.Error(t, err)
}

// Failure (found by the race of a test): a process that looked for others as one was just starting took its socket for that of
// a dead one and removed it.
func TestSocketThatIsBeingOpenedIsRemoved(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, "n0", ":1", "1")
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				l.OtherReady()
			}
		}
	}()
	for range 300 {
		other, err := Open(dir, "n0", ":1", &process{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		require.FileExists(t, other.path)
		require.NoError(t, other.ln.Close())
		require.Eventually(t, func() bool {
			_, err := os.Stat(other.path)
			return os.IsNotExist(err)
		}, wait, 100*time.Microsecond, "the socket of a dead one stays")
	}
	close(stop)
	<-done
}
