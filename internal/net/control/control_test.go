package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// responseDue is the platform's limit for the response time.
const responseDue = time.Second

// scheduler records the requests that it executes. Its only target is s-1.
type scheduler struct {
	mu      sync.Mutex
	ready   bool
	acts    []string
	blocked chan struct{} // if set, requests about targets wait for it
}

func (s *scheduler) record(act string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = append(s.acts, act)
}

func (s *scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *scheduler) Offline(target string) bool {
	if s.blocked != nil {
		<-s.blocked
	}
	s.record("offline " + target)
	return target == "s-1"
}

func (s *scheduler) Online(target string) bool {
	s.record("online " + target)
	return target == "s-1"
}

func (s *scheduler) OutOfService() { s.record("out") }
func (s *scheduler) InService()    { s.record("in") }

func startServer(t *testing.T, s *scheduler) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New(s, slog.New(slog.NewTextHandler(io.Discard, nil))).Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return ln.Addr().String()
}

// request sends a request and returns the response status. The response has to arrive within responseDue, and the
// connection then ends.
func request(t *testing.T, address, method, path string) int {
	t.Helper()
	status, elapsed, err := roundTrip(t, address, method, path)
	require.NoError(t, err)
	require.Less(t, elapsed, responseDue)
	return status
}

// roundTrip sends a request and returns the response status and the elapsed time.
func roundTrip(t *testing.T, address, method, path string) (status int, elapsed time.Duration, err error) {
	t.Helper()
	started := time.Now()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(started.Add(8*time.Second)))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path)
	require.NoError(t, err)
	response, err := io.ReadAll(c)
	if err == nil {
		_, err = fmt.Sscanf(string(response), "HTTP/1.1 %d", &status)
	}
	return status, time.Since(started), err
}

func TestRequests(t *testing.T) {
	s := &scheduler{}
	at := startServer(t, s)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/control/ready", http.StatusServiceUnavailable},
		{"POST", "/control/shop-workers/s-1/offline", http.StatusOK},
		{"POST", "/control/shop-workers/s-1/online", http.StatusOK},
		{"POST", "/control/shop-workers/s%2D1/online", http.StatusOK},
		{"POST", "/control/shop-workers/s-9/offline", http.StatusNotFound},
		{"POST", "/control/shop-workers/s-9/online", http.StatusNotFound},
		{"POST", "/control/shop-workers//online", http.StatusNotFound},
		{"POST", "/control/out-of-service", http.StatusOK},
		{"POST", "/control/in-service", http.StatusOK},
		{"GET", "/control/in-service", http.StatusMethodNotAllowed},
		{"POST", "/control/ready", http.StatusMethodNotAllowed},
		{"GET", "/nothing", http.StatusNotFound},
	} {
		require.Equal(t, c.want, request(t, at, c.method, c.path), "%s %s", c.method, c.path)
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	require.Equal(t, http.StatusOK, request(t, at, "GET", "/control/ready"))
	require.Equal(t, []string{"offline s-1", "online s-1", "online s-1", "offline s-9", "online s-9", "out", "in"}, s.acts)
}

// Clients that send nothing, half a request or too much delay the response to no other, however many they are.
func TestSilentClientsDelayNoOther(t *testing.T) {
	s := &scheduler{ready: true}
	at := startServer(t, s)
	for i := range 2 * maxConns / 3 {
		c, err := net.Dial("tcp", at)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, []string{"", "GET /control/re", "POST /control/out-of-service HTTP/1.1\r\nHost: x\r\n", "GET /" + strings.Repeat("x", 2*maxHeader)}[i%4])
		require.NoError(t, err)
	}
	for range 20 {
		require.Equal(t, http.StatusOK, request(t, at, "GET", "/control/ready"))
	}
	for range 2 * maxConns { // more than maxConns: these time out soon, and then there are free slots
		c, err := net.Dial("tcp", at)
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool {
		status, took, err := roundTrip(t, at, "GET", "/control/ready")
		return err == nil && status == http.StatusOK && took < responseDue
	}, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.acts, "half a request has no effect")
}

// If the scheduler does not respond before the timeout, the request fails with 503.
func TestSchedulerTimeoutFailsRequest(t *testing.T) {
	s := &scheduler{blocked: make(chan struct{})}
	at := startServer(t, s)
	require.Equal(t, http.StatusServiceUnavailable, request(t, at, "POST", "/control/shop-workers/s-1/offline"))
	close(s.blocked)
}
