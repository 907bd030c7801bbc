// Package wire parses and prints the line protocol between a host process and
// the dispatchers it hosts. It makes no decision.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"cottonwell/balance"
)

// Kind tells what a line, or a group of lines, of a batch says.
type Kind int

// The kinds of items.
const (
	Open  Kind = iota // a batch begins: Now, Seq
	Close             // it ends
	Start             // an instance starts: Instance, Seed, Settings
	Stop              // an instance was killed: Instance
	Page              // a numbered list: Buffer, Members
	List              // an instance is told a list: Instance, Buffer, Event.List
	Event             // anything else for an instance: Instance, Event
)

// Item is one thing read from the wire.
type Item struct {
	Kind     Kind
	Line     int // where it was read, counted from 1
	Now      time.Duration
	Seq      uint64
	Instance int
	Seed     uint64
	Settings balance.Settings
	Buffer   int
	Members  []balance.Member
	Event    balance.Event
}

// Reader reads items.
type Reader struct {
	in     *bufio.Reader
	line   int
	inside bool
}

// NewReader reads the wire from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<18)}
}

// next returns the next line without its end; empty lines outside a batch are passed over.
func (r *Reader) next() (string, error) {
	for {
		s, err := r.in.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && !r.inside && strings.TrimSpace(s) == "" {
				return "", io.EOF
			}
			if errors.Is(err, io.EOF) {
				return "", fmt.Errorf("line %d: input ends inside a batch: %q", r.line+1, s)
			}
			return "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		s = strings.TrimRight(s, "\r\n")
		if s != "" || r.inside {
			return s, nil
		}
	}
}

// Next returns the next item, io.EOF after the last batch, or an error that names the line.
func (r *Reader) Next() (Item, error) {
	s, err := r.next()
	if err != nil {
		return Item{}, err
	}
	line := r.line
	it, err := r.parse(s)
	it.Line = line
	if err != nil {
		return Item{}, fmt.Errorf("line %d: %w: %q", line, err, clip(s))
	}
	return it, nil
}

func clip(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}

// fields walks over the name=value parts of a line and keeps the first error.
type fields struct {
	rest, name, value string
	seen              uint
	err               error
}

func (f *fields) next() bool {
	if f.rest == "" || f.err != nil {
		return false
	}
	part := f.rest
	if i := strings.IndexByte(part, ' '); i >= 0 {
		part, f.rest = part[:i], part[i+1:]
		if f.rest == "" {
			f.err = errors.New("space at the end")
			return false
		}
	} else {
		f.rest = ""
	}
	i := strings.IndexByte(part, '=')
	if i <= 0 {
		f.err = fmt.Errorf("part %q is not name=value", part)
		return false
	}
	f.name, f.value = part[:i], part[i+1:]
	return true
}

func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s is not %s", f.name, what)
	}
}

func (f *fields) int() int64 {
	n, err := strconv.ParseInt(f.value, 10, 64)
	if err != nil {
		f.fail("a whole number")
	}
	return n
}

func (f *fields) uint() uint64 {
	n, err := strconv.ParseUint(f.value, 10, 64)
	if err != nil {
		f.fail("a whole number of 0 or more")
	}
	return n
}

func (f *fields) float() float64 {
	x, err := strconv.ParseFloat(f.value, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		f.fail("a number")
	}
	return x
}

func (f *fields) bool() bool {
	if f.value != "0" && f.value != "1" {
		f.fail("1 or 0")
	}
	return f.value == "1"
}

func (f *fields) span() time.Duration {
	n := f.int()
	if n > 1<<53 || n < -(1<<53) {
		f.fail("a time within range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// The fields that a message cannot do without.
const (
	hasInstance uint = 1 << iota
	hasRequest
	hasRunner
	hasAttempt
	hasEnding
	hasClass
	hasBudget
	hasScope
	hasBuffer
	hasTimer
	hasSeq
	hasNow
	hasItems
	hasWhat
	hasSeed
	hasMode
	hasWho
)

func (f *fields) need(mask uint) error {
	if f.err != nil {
		return f.err
	}
	if f.seen&mask != mask {
		return errors.New("a field is missing")
	}
	return nil
}

func (r *Reader) parse(s string) (Item, error) {
	tag, rest, _ := strings.Cut(s, " ")
	f := &fields{rest: rest}
	if tag == "FRAME" {
		if r.inside {
			return Item{}, errors.New("a batch inside a batch")
		}
		r.inside = true
		return parseFrame(f)
	}
	if !r.inside {
		return Item{}, errors.New("a message outside a batch")
	}
	switch tag {
	case "END":
		r.inside = false
		return Item{Kind: Close}, nil
	case "SPAWN":
		return parseStart(f)
	case "PAGE":
		return r.parsePage(f)
	case "ANNOUNCE":
		return parseList(f)
	case "CRASH_NOW":
		it, err := parseEvent(f, balance.Event{}, hasInstance)
		it.Kind = Stop
		return it, err
	case "REQUEST":
		return parseEvent(f, balance.Event{Kind: balance.Arrived}, hasInstance|hasRequest|hasClass|hasBudget)
	case "VANISHED":
		return parseEvent(f, balance.Event{Kind: balance.Departed}, hasInstance|hasRequest)
	case "ENDED":
		return parseEvent(f, balance.Event{Kind: balance.Ended},
			hasInstance|hasRequest|hasAttempt|hasRunner|hasEnding)
	case "PROGRESS":
		return parseEvent(f, balance.Event{Kind: balance.Noted},
			hasInstance|hasRequest|hasAttempt|hasRunner|hasWhat)
	case "FIRST_BYTE":
		return parseEvent(f, balance.Event{Kind: balance.Streaming}, hasInstance|hasRequest|hasAttempt)
	case "PROBE_RESULT":
		return parseEvent(f, balance.Event{Kind: balance.Probed}, hasInstance|hasRunner|hasEnding)
	case "BELL":
		return parseEvent(f, balance.Event{Kind: balance.TimerDue}, hasInstance|hasTimer)
	case "HEARD":
		return parseEvent(f, balance.Event{Kind: balance.PeerSpoke}, hasInstance|hasWho)
	}
	return Item{}, errors.New("unknown message")
}

func parseFrame(f *fields) (Item, error) {
	it := Item{Kind: Open}
	for f.next() {
		switch f.name {
		case "sim-time-us":
			it.Now, f.seen = f.span(), f.seen|hasNow
		case "seq":
			it.Seq, f.seen = f.uint(), f.seen|hasSeq
		}
	}
	return it, f.need(hasNow | hasSeq)
}

func parseList(f *fields) (Item, error) {
	it := Item{Kind: List}
	for f.next() {
		switch f.name {
		case "dispatcher":
			it.Instance, f.seen = int(f.int()), f.seen|hasInstance
		case "buffer":
			it.Buffer, f.seen = int(f.int()), f.seen|hasBuffer
			if it.Buffer < 0 || it.Buffer > 15 {
				f.fail("a list number")
			}
		case "scope":
			f.seen |= hasScope
			switch f.value {
			case "diff":
				it.Event.List = balance.Changes
			case "snapshot":
				it.Event.List = balance.Whole
			case "disk":
				it.Event.List = balance.FromDisk
			case "error":
				it.Event.List = balance.AskFailed
			default:
				f.fail("a known scope")
			}
		}
	}
	it.Event.Kind = balance.Listed
	if it.Event.List != balance.AskFailed {
		return it, f.need(hasInstance | hasScope | hasBuffer)
	}
	return it, f.need(hasInstance | hasScope)
}

func (r *Reader) parsePage(f *fields) (Item, error) {
	it := Item{Kind: Page}
	count := int64(0)
	for f.next() {
		switch f.name {
		case "buffer":
			it.Buffer, f.seen = int(f.int()), f.seen|hasBuffer
			if it.Buffer < 0 || it.Buffer > 15 {
				f.fail("a list number")
			}
		case "items":
			count, f.seen = f.int(), f.seen|hasItems
			if count < 0 || count > 1<<20 {
				f.fail("a number of entries")
			}
		}
	}
	if err := f.need(hasBuffer | hasItems); err != nil {
		return it, err
	}
	for ; count > 0; count-- {
		s, err := r.next()
		if err != nil {
			return it, err
		}
		m, err := parseMember(s)
		if err != nil {
			return it, fmt.Errorf("line %d, an entry of the list: %w: %q", r.line, err, clip(s))
		}
		it.Members = append(it.Members, m)
	}
	return it, nil
}

func parseMember(s string) (balance.Member, error) {
	m := balance.Member{Weight: 1}
	tag, rest, _ := strings.Cut(strings.Clone(s), " ")
	if tag != "M" {
		return m, errors.New("not an entry")
	}
	f := &fields{rest: rest}
	for f.next() {
		switch f.name {
		case "runner":
			m.ID, f.seen = f.value, f.seen|hasRunner
		case "region-part":
			m.Zone = f.value
		case "sku":
			m.Kind = f.value
		case "cell":
			m.Cell = f.value
		case "mode":
			f.seen |= hasMode
			switch f.value {
			case "IN":
				m.State = balance.Ready
			case "LAME":
				m.State = balance.Draining
			case "OUT":
				m.State = balance.Gone
			default:
				f.fail("a known mode")
			}
		case "share":
			m.Weight = f.float()
		case "started-at-us":
			m.Started = f.span()
		}
	}
	return m, f.need(hasRunner | hasMode)
}

func parseEvent(f *fields, ev balance.Event, need uint) (Item, error) {
	it := Item{Kind: Event}
	ev.Slots = 1
	for f.next() {
		switch f.name {
		case "dispatcher":
			it.Instance, f.seen = int(f.int()), f.seen|hasInstance
		case "corr":
			ev.Request, f.seen = f.uint(), f.seen|hasRequest
		case "runner":
			ev.Worker, f.seen = f.value, f.seen|hasRunner
		case "attempt":
			ev.Attempt, f.seen = int(f.int()), f.seen|hasAttempt
		case "ending":
			ev.Result, f.seen = parseResult(f), f.seen|hasEnding
		case "wait-time-us":
			ev.Elapsed = f.span()
		case "complete":
			ev.Final = f.bool()
		case "load":
			ev.Report = parseReport(f)
		case "class":
			ev.Class, f.seen = f.value, f.seen|hasClass
		case "key":
			ev.Key = f.value
		case "time-budget-us":
			ev.Budget, f.seen = f.span(), f.seen|hasBudget
		case "work-hint-us":
			ev.Hint = f.span()
		case "slots":
			ev.Slots = f.float()
		case "account":
			ev.Tenant = f.value
		case "ram-units":
			ev.Memory = f.float()
		case "resent":
			ev.Repeat = f.bool()
		case "what":
			ev.Started, f.seen = f.int() == 1, f.seen|hasWhat
		case "x":
			ev.Fraction = f.float()
		case "who":
			ev.Who, f.seen = int(f.int()), f.seen|hasWho
		case "raw":
			if f.value != "-" {
				raw, err := hex.DecodeString(f.value)
				if err != nil {
					f.fail("hex digits")
				}
				ev.Raw = string(raw)
			}
		case "key-back":
			ev.Timer, f.seen = f.uint(), f.seen|hasTimer
		}
	}
	it.Event = ev
	return it, f.need(need)
}

func parseResult(f *fields) balance.Result {
	switch f.value {
	case "0":
		return balance.OK
	case "255":
		return balance.Failed
	case "254":
		return balance.Full
	case "253":
		return balance.TimedOut
	case "252":
		return balance.NoConnection
	case "251":
		return balance.Reset
	case "250":
		return balance.Cancelled
	case "249":
		return balance.NeverSent
	}
	f.fail("a known ending")
	return balance.Failed
}

func parseReport(f *fields) balance.Report {
	rep := balance.Report{Present: true, InFlight: -1, Waiting: -1, Free: -1}
	rest := f.value
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		name, value, ok := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || x != x || x > 1e18 || x < -1e18 {
			f.fail("a load report")
			return rep
		}
		switch name {
		case "active":
			rep.InFlight = max(x, 0)
		case "waiting":
			rep.Waiting = max(x, 0)
		case "x0":
			rep.Free = max(x, 0)
		case "x1":
			rep.Memory = max(x, 0.001) // 0 would say that none is reported
		}
	}
	return rep
}

// Writer prints replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter prints to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(w, 1<<16)}
}

// Close ends a reply and flushes it.
func (w *Writer) Close(seq uint64) error {
	w.buf = strconv.AppendUint(append(w.buf, "YIELD seq="...), seq, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		return err
	}
	return w.out.Flush()
}

// Panic reports that the decisions of an instance have failed.
func (w *Writer) Panic(instance int, reason string) {
	w.head("PANIC", instance)
	w.buf = append(w.buf, " reason-text="...)
	w.buf = append(w.buf, oneLine(reason)...)
	w.buf = append(w.buf, '\n')
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func (w *Writer) head(tag string, instance int) {
	w.buf = append(append(w.buf, tag...), " dispatcher="...)
	w.buf = strconv.AppendInt(w.buf, int64(instance), 10)
}

func (w *Writer) num(name string, n int64) {
	w.buf = append(append(append(w.buf, ' '), name...), '=')
	w.buf = strconv.AppendInt(w.buf, n, 10)
}

func (w *Writer) word(name, s string) {
	w.buf = append(append(append(append(w.buf, ' '), name...), '='), s...)
}

// Action prints one action of an instance.
func (w *Writer) Action(instance int, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		w.head("SEND", instance)
		w.num("corr", int64(a.Request))
		w.word("runner", a.Worker)
		if a.After > 0 {
			w.num("cap-us", a.After.Microseconds())
		}
	case balance.Refuse:
		w.head("DENY", instance)
		w.num("corr", int64(a.Request))
		if a.After > 0 {
			w.num("retry-in-us", a.After.Microseconds())
		}
	case balance.Fail:
		w.head("GIVE_UP", instance)
		w.num("corr", int64(a.Request))
	case balance.Cancel:
		w.head("CALL_OFF", instance)
		w.num("corr", int64(a.Request))
		w.num("attempt", int64(a.Attempt))
	case balance.Wake:
		w.head("REMIND", instance)
		w.num("after-us", a.After.Microseconds())
		w.num("key-back", int64(a.Timer))
	case balance.Probe:
		w.head("PING", instance)
		w.word("runner", a.Worker)
	case balance.Subscribe:
		w.head("WATCH", instance)
		w.num("enable", 1)
	case balance.Tell:
		to := []string{"*"}
		if a.To != nil {
			to = to[:0]
		}
		for _, n := range a.To {
			to = append(to, strconv.Itoa(n))
		}
		for i, peer := range to {
			if i > 0 {
				w.buf = append(w.buf, '\n')
			}
			w.head("WRITE_PEER", instance)
			w.word("peer", peer)
			w.word("raw", hex.EncodeToString([]byte(a.Raw)))
		}
	case balance.Say:
		w.head("LOG", instance)
		w.word("reason-text", oneLine(a.Text))
	}
	w.buf = append(w.buf, '\n')
}
