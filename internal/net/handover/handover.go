// Package handover lets two processes of one scheduler, the old and the new version, work side by side for a while. Each has
// a socket in a directory that both know. Over it they pass on news of jobs of the other one, tell of targets under
// maintenance, and say whether they take clients. The words are HTTP with JSON bodies.
package handover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"cottonwell/internal/core"
)

const (
	wordWithin = 300 * time.Millisecond // for a word to another process and its answer
	wordsMost  = 64                     // under way at once; further ones are dropped
	bodyMost   = 1 << 20                // bytes
	ownerOnly  = 0o600
	pathMost   = 100 // bytes that the system allows for a socket's path, less a few
)

// Process is what the other process's words act on.
type Process interface {
	Ready() bool
	News(core.TargetNews)
	// Maintain puts a target offline or online.
	Maintain(target string, offline bool)
	// Maintained are the targets that are offline.
	Maintained() []string
}

// Counts are a link's figures, for the log.
type Counts struct{ PassedOn, Dropped atomic.Int64 }

// Link is a process's socket, and its way to other processes of the same scheduler.
type Link struct {
	Counts  Counts
	process Process
	log     *slog.Logger
	pattern string // of all processes' sockets
	path    string // of its own
	ln      net.Listener
	words   chan struct{} // a place for each word under way
}

// maintenance is the word about a target.
type maintenance struct {
	Target  string `json:"target"`
	Offline bool   `json:"offline"`
}

// Open listens at a socket of this process in a directory. The scheduler is named by its clients' address, too: others of the
// same name may use the same directory.
func Open(dir, name, listen string, p Process, log *slog.Logger) (*Link, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "@" + listen))
	prefix := filepath.Join(dir, fmt.Sprintf("cottonwell-%x", h.Sum64()))
	l := &Link{process: p, log: log, pattern: prefix + "-*.sock", words: make(chan struct{}, wordsMost),
		path: fmt.Sprintf("%s-%d.sock", prefix, os.Getpid())}
	if len(l.path) > pathMost {
		return nil, fmt.Errorf("handover: the path %s is over %d bytes long", l.path, pathMost)
	}
	var err error
	if l.ln, err = listenAt(l.path); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// listenAt listens at a path, which is there only once it can be called: others remove those at which nobody listens.
func listenAt(path string) (net.Listener, error) {
	first := path + ".new"
	for _, old := range []string{first, path} { // of an earlier process of this number
		if err := os.Remove(old); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: first, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(first, ownerOnly), os.Rename(first, path)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Serve answers the other process until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !l.process.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /maintained", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(l.process.Maintained())
	})
	mux.HandleFunc("POST /maintained", func(w http.ResponseWriter, r *http.Request) {
		var m maintenance
		if read(w, r, &m) {
			l.process.Maintain(m.Target, m.Offline)
		}
	})
	mux.HandleFunc("POST /news", func(w http.ResponseWriter, r *http.Request) {
		var n core.TargetNews
		if read(w, r, &n) {
			n.PassedOn = true
			l.process.News(n)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: wordWithin, WriteTimeout: 2 * wordWithin,
		ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	defer os.Remove(l.path)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func read(w http.ResponseWriter, r *http.Request, to any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost)).Decode(to); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// others are the sockets of the scheduler's other processes.
func (l *Link) others() (paths []string) {
	found, _ := filepath.Glob(l.pattern)
	for _, path := range found {
		if path != l.path {
			paths = append(paths, path)
		}
	}
	return paths
}

// PassOn tells the other processes of news about a job that is unknown here. It does not wait.
func (l *Link) PassOn(n core.TargetNews) { l.tell("/news", n) }

// Maintain tells them that a target is offline or online. It does not wait.
func (l *Link) Maintain(target string, offline bool) {
	l.tell("/maintained", maintenance{target, offline})
}

// tell sends a word to all others, aside: to look for them reads a directory.
func (l *Link) tell(path string, word any) {
	select {
	case l.words <- struct{}{}:
	default:
		l.Counts.Dropped.Add(1)
		return
	}
	go func() {
		defer func() { <-l.words }()
		for _, socket := range l.others() {
			l.tellOne(socket, path, word)
		}
	}()
}

func (l *Link) tellOne(socket, path string, word any) {
	body, err := json.Marshal(word)
	if err == nil {
		_, err = call(socket, http.MethodPost, path, body, nil)
	}
	if err != nil {
		l.log.Debug("handover", "word", path, "to", socket, "cause", err)
		return
	}
	l.Counts.PassedOn.Add(1)
}

// OtherReady says whether another process takes clients.
func (l *Link) OtherReady() bool {
	for _, socket := range l.others() {
		if ok, err := call(socket, http.MethodGet, "/ready", nil, nil); ok && err == nil {
			return true
		}
	}
	return false
}

// Inherited are the targets that are offline at other processes.
func (l *Link) Inherited() (targets []string) {
	for _, socket := range l.others() {
		var theirs []string
		if _, err := call(socket, http.MethodGet, "/maintained", nil, &theirs); err != nil {
			l.log.Debug("handover", "from", socket, "cause", err)
		}
		targets = append(targets, theirs...)
	}
	return targets
}

// call sends one word and says whether the answer was yes. A socket at which nobody listens any more is removed.
func call(socket, method, path string, body []byte, answer any) (yes bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), wordWithin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://handover"+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}
	resp, err := transport.RoundTrip(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(socket)
	}
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if answer != nil {
		err = json.NewDecoder(resp.Body).Decode(answer)
	}
	return resp.StatusCode == http.StatusOK, err
}
