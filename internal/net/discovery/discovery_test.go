package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// A watch resumes from the last version it has read. The fault: a list of version 0 counted as no list, so that
// after a release every scheduler requested the whole list, and most requests failed. After an unreadable line its
// changes are unknown, and only the whole list restores them.
func TestWatchResumesFromLastVersion(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	lists := make(chan core.TargetList, 9)
	w := New(Config{Address: ln.Addr().String(), Clock: clock.NewManual(1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Stack: httpio.NewStack(), HasList: true, FromVersion: 0, OnList: func(g core.TargetList) { lists <- g }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for _, round := range []struct{ from, status, text string }{
		{"0", "200 OK", `{"index":43,"snapshot":false,"endpoints":[{"name":"a","status":"SERVING"},{"status":"SERVING"},{"name":"b","status":"ODD"}]}` + "\n\n"},
		{"43", "503 Service Unavailable", ""},
		{"43", "200 OK", "{not a list}\n"},
		{"", "200 OK", `{"index":50,"snapshot":true,"endpoints":[]}` + "\n"},
	} {
		w.RequestWatch()
		c, err := ln.Accept()
		require.NoError(t, err)
		req, err := http.ReadRequest(bufio.NewReader(c))
		require.NoError(t, err)
		require.Equal(t, round.from, req.URL.Query().Get("from"))
		require.Equal(t, "1", req.URL.Query().Get("watch"))
		_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nConnection: close\r\n\r\n%s", round.status, round.text)
		require.NoError(t, err)
		if round.from == "0" {
			g := <-lists
			require.Equal(t, balance.Changes, g.Scope)
			require.Len(t, g.Targets, 2, "an entry without a name is ignored")
			require.Equal(t, balance.Draining, g.Targets[1].State, "a target of unknown status receives nothing")
		}
		if round.from == "" {
			require.Equal(t, balance.Complete, (<-lists).Scope)
		}
		c.Close()
		require.Equal(t, balance.RequestFailed, (<-lists).Scope, "the end of a watch is reported")
	}
}
