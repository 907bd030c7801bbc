package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is a scheduler's answer to a request.
type Answer struct {
	Status  int // 0: none came
	Body    string
	Elapsed time.Duration
	Err     error
}

// Client sends jobs over HTTP, on connections that it keeps.
type Client struct {
	http http.Client
	To   string
}

// NewClient returns a client of the scheduler at an address.
func NewClient(to string) *Client {
	return &Client{To: to, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Job sends one job and waits for its answer, for the given time.
func (c *Client) Job(class, id, key string, patience time.Duration) Answer {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience+600*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.To+"/"+class, strings.NewReader("{}"))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Org", "cricket-league")
	req.Header.Set("X-Remaining", fmt.Sprintf("%dm", patience.Milliseconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err, Elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, string(body), time.Since(start), err}
}
