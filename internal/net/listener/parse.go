package listener

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// parseJob reads a job from the head of a request, without its body.
func parseJob(req *http.Request, class string, settings Class) (*core.Request, error) {
	h := req.Header
	for _, name := range []string{"X-Txn", "X-Org", "X-Remaining", "X-Labels", "X-Estimate", "Idempotency-Key", "Content-Type"} {
		if len(h[name]) > 1 {
			return nil, fmt.Errorf("%s stands there twice", name)
		}
	}
	r := &core.Request{ID: h.Get("X-Txn"), Class: class, Tenant: h.Get("X-Org"), Slots: 1, ClientTimeoutMS: settings.ClientTimeout,
		MarkedRetry: h.Get("X-Resent") == "1",
		Job:         core.Job{Method: req.Method, Path: req.RequestURI, Key: h.Get("Idempotency-Key"), Type: h.Get("Content-Type")}}
	if !httpio.ValidID(r.ID) {
		return nil, errors.New("X-Txn must be 1 to 128 letters, digits, '-', '_' or '.'")
	}
	// What is forwarded must be readable for the target. The target closes the connection on anything else, which
	// would look like a fault of the target: after two of them, the decision module takes it for unhealthy.
	switch {
	case !httpio.ValidRequestTarget(r.Job.Path):
		return nil, errors.New("the path and query must be plain, with %XX for anything else")
	case !httpio.VisibleASCII(r.Job.Key) || len(r.Job.Key) > 256:
		return nil, errors.New("Idempotency-Key must be up to 256 visible characters")
	case settings.KeyRequired && r.Job.Key == "":
		return nil, errors.New("jobs of this class need an Idempotency-Key")
	case !httpio.VisibleASCII(strings.ReplaceAll(r.Job.Type, " ", "")):
		return nil, errors.New("Content-Type must be plain text")
	}
	if sid, err := req.Cookie("sid"); err == nil {
		r.Subject = sid.Value
	}
	if s := h["X-Remaining"]; len(s) > 0 { // an empty header field is present and not a number
		ms, err := parseTime(s[0])
		if err != nil {
			return nil, fmt.Errorf("X-Remaining: %w", err)
		}
		r.ClientTimeoutMS = ms
	}
	if s := h.Get("X-Estimate"); s != "" {
		us, err := strconv.ParseFloat(s, 64)
		if err != nil || !(us >= 0 && us < 3.6e9) {
			return nil, fmt.Errorf("X-Estimate: %q is not a number of microseconds", s)
		}
		r.ExpectedWorkMS = us / 1000
	}
	if err := parseLabels(h.Get("X-Labels"), r); err != nil {
		return nil, fmt.Errorf("X-Labels: %w", err)
	}
	return r, nil
}

// parseTime reads a number with the unit m (milliseconds) or u (microseconds), and returns milliseconds.
func parseTime(s string) (float64, error) {
	if s == "" {
		return 0, errors.New("empty")
	}
	unit := map[byte]float64{'m': 1, 'u': 0.001}[s[len(s)-1]]
	x, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if unit == 0 || err != nil || math.IsNaN(x) || x < 0 || x > 3.6e6 {
		return 0, fmt.Errorf("%q is not a time of up to an hour in m or u", s)
	}
	return x * unit, nil
}

// parseLabels reads name=value,name=value and ignores unknown names.
func parseLabels(s string, r *core.Request) error {
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		field := map[string]*float64{"slots": &r.Slots, "ram-units": &r.Memory}[name]
		if field == nil {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x > 0 && x < 1e6) {
			return fmt.Errorf("%s=%q is not a number of %[1]s", name, value)
		}
		*field = x
	}
	return nil
}

// jobEvent is the body of a target's callback.
type jobEvent struct {
	ID     string             `json:"id"`
	From   string             `json:"from"`
	State  string             `json:"state"`
	Share  float64            `json:"share"`
	Result string             `json:"result"`
	Load   map[string]float64 `json:"load"`
}

// callBack passes a target's report to the core. It responds before the core has processed the report, so that the
// target does not wait.
func (l *Listener) callBack(req *http.Request, body *buffer.Body) reply {
	if req.Method != http.MethodPost {
		return reply{status: http.StatusMethodNotAllowed, allow: "POST"}
	}
	var ev jobEvent
	if err := json.NewDecoder(body.Reader()).Decode(&ev); err != nil {
		return reply{status: http.StatusBadRequest, text: "not a job event\n"}
	}
	callback, err := ev.targetCallback()
	if err != nil {
		return reply{status: http.StatusBadRequest, text: err.Error() + "\n"}
	}
	l.Core.ReceiveCallback(callback)
	return reply{status: http.StatusNoContent}
}

// targetCallback converts a job event for the core. Package httpio has the table of outcomes.
func (ev *jobEvent) targetCallback() (core.TargetCallback, error) {
	callback := core.TargetCallback{ID: ev.ID, From: ev.From}
	if ev.Load != nil {
		callback.Report = httpio.Load(ev.Load)
	}
	if ev.ID == "" || ev.From == "" {
		return callback, errors.New("a job event needs id and from")
	}
	switch ev.State {
	case "started":
		callback.Progress = &core.Progress{Started: true}
		return callback, nil
	case "running":
		callback.Progress = &core.Progress{Fraction: ev.Share}
		return callback, nil
	}
	result, ok := httpio.Outcome(httpio.ForJobState(ev.State))
	if !ok {
		return callback, fmt.Errorf("unknown state %q", ev.State)
	}
	callback.Result = result
	if result == balance.OK {
		callback.Body = ev.Result
	}
	return callback, nil
}

// retryAfterSeconds formats milliseconds for Retry-After: as an integer where it is whole, otherwise as a decimal.
func retryAfterSeconds(ms float64) string {
	return strconv.FormatFloat(math.Ceil(ms)/1000, 'f', -1, 64)
}
