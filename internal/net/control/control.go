// Package control serves the operators' control address. Operators request readiness, maintenance of targets, and
// taking the scheduler out of service and back. It is given a listener and the Scheduler to act on. The protocol
// is HTTP/1.1 with one request per connection: 2xx means yes, 4xx and 5xx mean no. The package does not
// authenticate operators.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"time"
)

const (
	responseTimeout = 800 * time.Millisecond // operators expect the response within 1 s
	readTimeout     = 800 * time.Millisecond // for the whole request, from connecting
	writeTimeout    = time.Second
	maxHeader       = 8 << 10 // bytes
	maxConns        = 32      // open connections; further ones wait until one of them ends or times out
)

// Scheduler executes the requests. Each method may block, for as long as the request has time.
type Scheduler interface {
	// Ready reports whether the scheduler accepts clients.
	Ready() bool
	// Offline stops sending to a target. It reports whether there is a target of that name.
	Offline(target string) bool
	// Online resumes sending to a target. It reports whether there is a target of that name.
	Online(target string) bool
	// OutOfService drains the scheduler; InService puts it back into service.
	OutOfService()
	InService()
}

// Server serves operators' requests.
type Server struct {
	scheduler Scheduler
	log       *slog.Logger
}

// New returns a server of requests to a scheduler.
func New(s Scheduler, log *slog.Logger) *Server { return &Server{s, log} }

// Serve serves requests on a listener until ctx ends, and closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           http.TimeoutHandler(rejectUncleanPaths(s.handler()), responseTimeout, "no answer in time\n"),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      readTimeout + writeTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(newLimitedListener(ln, maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control address: %w", err)
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.scheduler.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		respondYes(w)
	})
	mux.HandleFunc("POST /control/shop-workers/{target}/offline", s.targetHandler("offline", s.scheduler.Offline))
	mux.HandleFunc("POST /control/shop-workers/{target}/online", s.targetHandler("online", s.scheduler.Online))
	mux.HandleFunc("POST /control/out-of-service", s.schedulerHandler("out of service", s.scheduler.OutOfService))
	mux.HandleFunc("POST /control/in-service", s.schedulerHandler("in service", s.scheduler.InService))
	return mux
}

// rejectUncleanPaths responds 404 to a path that is not in its shortest form. The multiplexer would redirect it.
func rejectUncleanPaths(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path {
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// targetHandler returns the handler of a request about the target in its path.
func (s *Server) targetHandler(name string, act func(target string) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		target := r.PathValue("target")
		known := act(target)
		s.log.Info("operator's call", "call", name, "target", target, "known", known)
		if !known {
			http.Error(w, "no such target", http.StatusNotFound)
			return
		}
		respondYes(w)
	}
}

// schedulerHandler returns the handler of a request about the scheduler itself.
func (s *Server) schedulerHandler(name string, act func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		act()
		s.log.Info("operator's call", "call", name)
		respondYes(w)
	}
}

func respondYes(w http.ResponseWriter) { _, _ = w.Write([]byte("yes\n")) }
