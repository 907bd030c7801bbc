// Package wire implements the simulator's line protocol between the simulator and a host process.
// Reader is given the simulator's input and returns one Item for each message of a batch. Writer is
// given the actions of the hosted dispatchers and prints the reply to a batch. The package checks the
// form of messages and batches. It makes no decisions and keeps no state of the dispatchers.
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

// Kind is the kind of an Item.
type Kind int

// The kinds of items, each with the fields that it sets.
const (
	Open  Kind = iota // a batch begins: Now, Seq
	Close             // a batch ends
	Start             // a dispatcher instance starts: Instance, Seed, Settings
	Stop              // an instance was killed: Instance
	Page              // the content of a list buffer: Buffer, Members
	List              // an instance receives the list in a buffer: Instance, Buffer, Event.List
	Event             // any other event of an instance: Instance, Event
)

// Item is one message of the wire; a Page includes its member lines.
type Item struct {
	Kind     Kind
	Line     int // first line of the message, counted from 1
	Now      time.Duration
	Seq      uint64
	Instance int
	Seed     uint64
	Settings balance.Settings
	Buffer   int
	Members  []balance.Member
	Event    balance.Event
}

// Reader parses the messages of the wire into items.
type Reader struct {
	input       *bufio.Reader
	line        int
	insideBatch bool
}

// NewReader returns a reader of the wire that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 1<<18)}
}

// nextLine returns the next line without its line ending. It skips empty lines outside a batch.
func (r *Reader) nextLine() (string, error) {
	for {
		line, err := r.input.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && !r.insideBatch && strings.TrimSpace(line) == "" {
				return "", io.EOF
			}
			if errors.Is(err, io.EOF) {
				return "", fmt.Errorf("line %d: input ends inside a batch: %q", r.line+1, line)
			}
			return "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		line = strings.TrimRight(line, "\r\n")
		if line != "" || r.insideBatch {
			return line, nil
		}
	}
}

// Next returns the next item, io.EOF after the last batch, or an error that names the line.
func (r *Reader) Next() (Item, error) {
	text, err := r.nextLine()
	if err != nil {
		return Item{}, err
	}
	line := r.line
	item, err := r.parse(text)
	item.Line = line
	if err != nil {
		return Item{}, fmt.Errorf("line %d: %w: %q", line, err, truncate(text))
	}
	return item, nil
}

// truncate limits a line to 200 bytes, for error texts.
func truncate(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}

// fields iterates over the name=value parts of a line. It keeps the first error, and the
// required fields that were present as a bit mask.
type fields struct {
	rest, name, value string
	present           uint
	err               error
}

// next parses the next part into name and value. It returns false at the end of the line and
// after an error.
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

// fail records that the value of the current field is not what is wanted.
func (f *fields) fail(want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s is not %s", f.name, want)
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

// duration parses a time in microseconds.
func (f *fields) duration() time.Duration {
	n := f.int()
	if n > 1<<53 || n < -(1<<53) {
		f.fail("a time within range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// The bits of the fields that some message requires.
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

// require returns the first error of the line, or an error if a required field is missing.
func (f *fields) require(required uint) error {
	if f.err != nil {
		return f.err
	}
	if f.present&required != required {
		return errors.New("a field is missing")
	}
	return nil
}

// parse parses one message. For a PAGE it also reads the lines of its members.
func (r *Reader) parse(line string) (Item, error) {
	tag, rest, _ := strings.Cut(line, " ")
	f := &fields{rest: rest}
	if tag == "FRAME" {
		if r.insideBatch {
			return Item{}, errors.New("a batch inside a batch")
		}
		r.insideBatch = true
		return parseFrame(f)
	}
	if !r.insideBatch {
		return Item{}, errors.New("a message outside a batch")
	}
	switch tag {
	case "END":
		r.insideBatch = false
		return Item{Kind: Close}, nil
	case "SPAWN":
		return parseStart(f)
	case "PAGE":
		return r.parsePage(f)
	case "ANNOUNCE":
		return parseList(f)
	case "CRASH_NOW":
		item, err := parseEvent(f, balance.Event{}, hasInstance)
		item.Kind = Stop
		return item, err
	case "REQUEST":
		return parseEvent(f, balance.Event{Kind: balance.Arrived}, hasInstance|hasRequest|hasClass|hasBudget)
	case "VANISHED":
		return parseEvent(f, balance.Event{Kind: balance.Departed}, hasInstance|hasRequest)
	case "ENDED":
		return parseEvent(f, balance.Event{Kind: balance.Ended},
			hasInstance|hasRequest|hasAttempt|hasRunner|hasEnding)
	case "PROGRESS":
		return parseEvent(f, balance.Event{Kind: balance.Progressed},
			hasInstance|hasRequest|hasAttempt|hasRunner|hasWhat)
	case "FIRST_BYTE":
		return parseEvent(f, balance.Event{Kind: balance.Streaming}, hasInstance|hasRequest|hasAttempt)
	case "PROBE_RESULT":
		return parseEvent(f, balance.Event{Kind: balance.Probed}, hasInstance|hasRunner|hasEnding)
	case "BELL":
		return parseEvent(f, balance.Event{Kind: balance.TimerDue}, hasInstance|hasTimer)
	case "HEARD":
		return parseEvent(f, balance.Event{Kind: balance.PeerLoads}, hasInstance|hasWho)
	}
	return Item{}, errors.New("unknown message")
}

func parseFrame(f *fields) (Item, error) {
	item := Item{Kind: Open}
	for f.next() {
		switch f.name {
		case "sim-time-us":
			item.Now, f.present = f.duration(), f.present|hasNow
		case "seq":
			item.Seq, f.present = f.uint(), f.present|hasSeq
		}
	}
	return item, f.require(hasNow | hasSeq)
}

func parseList(f *fields) (Item, error) {
	item := Item{Kind: List}
	for f.next() {
		switch f.name {
		case "dispatcher":
			item.Instance, f.present = int(f.int()), f.present|hasInstance
		case "buffer":
			item.Buffer, f.present = int(f.int()), f.present|hasBuffer
			if item.Buffer < 0 || item.Buffer > 15 {
				f.fail("a list number")
			}
		case "scope":
			f.present |= hasScope
			switch f.value {
			case "diff":
				item.Event.List = balance.Changes
			case "snapshot":
				item.Event.List = balance.Complete
			case "disk":
				item.Event.List = balance.FromDisk
			case "error":
				item.Event.List = balance.RequestFailed
			default:
				f.fail("a known scope")
			}
		}
	}
	item.Event.Kind = balance.Listed
	if item.Event.List != balance.RequestFailed {
		return item, f.require(hasInstance | hasScope | hasBuffer)
	}
	return item, f.require(hasInstance | hasScope)
}

func (r *Reader) parsePage(f *fields) (Item, error) {
	item := Item{Kind: Page}
	count := int64(0)
	for f.next() {
		switch f.name {
		case "buffer":
			item.Buffer, f.present = int(f.int()), f.present|hasBuffer
			if item.Buffer < 0 || item.Buffer > 15 {
				f.fail("a list number")
			}
		case "items":
			count, f.present = f.int(), f.present|hasItems
			if count < 0 || count > 1<<20 {
				f.fail("a number of entries")
			}
		}
	}
	if err := f.require(hasBuffer | hasItems); err != nil {
		return item, err
	}
	for ; count > 0; count-- {
		line, err := r.nextLine()
		if err != nil {
			return item, err
		}
		member, err := parseMember(line)
		if err != nil {
			return item, fmt.Errorf("line %d, an entry of the list: %w: %q", r.line, err, truncate(line))
		}
		item.Members = append(item.Members, member)
	}
	return item, nil
}

func parseMember(line string) (balance.Member, error) {
	member := balance.Member{Weight: 1}
	tag, rest, _ := strings.Cut(strings.Clone(line), " ")
	if tag != "M" {
		return member, errors.New("not an entry")
	}
	f := &fields{rest: rest}
	for f.next() {
		switch f.name {
		case "runner":
			member.ID, f.present = f.value, f.present|hasRunner
		case "region-part":
			member.Zone = f.value
		case "sku":
			member.Kind = f.value
		case "cell":
			member.Cell = f.value
		case "mode":
			f.present |= hasMode
			switch f.value {
			case "IN":
				member.State = balance.Ready
			case "LAME":
				member.State = balance.Draining
			case "OUT":
				member.State = balance.Gone
			default:
				f.fail("a known mode")
			}
		case "share":
			member.Weight = f.float()
		case "started-at-us":
			member.Started = f.duration()
		}
	}
	return member, f.require(hasRunner | hasMode)
}

func parseEvent(f *fields, event balance.Event, required uint) (Item, error) {
	item := Item{Kind: Event}
	event.Slots = 1
	for f.next() {
		switch f.name {
		case "dispatcher":
			item.Instance, f.present = int(f.int()), f.present|hasInstance
		case "corr":
			event.Request, f.present = f.uint(), f.present|hasRequest
		case "runner":
			event.Worker, f.present = f.value, f.present|hasRunner
		case "attempt":
			event.Attempt, f.present = int(f.int()), f.present|hasAttempt
		case "ending":
			event.Result, f.present = parseResult(f), f.present|hasEnding
		case "wait-time-us":
			event.Elapsed = f.duration()
		case "complete":
			event.Final = f.bool()
		case "load":
			event.Report = parseReport(f)
		case "class":
			event.Class, f.present = f.value, f.present|hasClass
		case "key":
			event.Key = f.value
		case "time-budget-us":
			event.Budget, f.present = f.duration(), f.present|hasBudget
		case "work-hint-us":
			event.Hint = f.duration()
		case "slots":
			event.Slots = f.float()
		case "account":
			event.Tenant = f.value
		case "ram-units":
			event.Memory = f.float()
		case "resent":
			event.MarkedRetry = f.bool()
		case "what":
			event.Started, f.present = f.int() == 1, f.present|hasWhat
		case "x":
			event.Fraction = f.float()
		case "who":
			event.Peer, f.present = int(f.int()), f.present|hasWho
		case "raw":
			if f.value != "-" {
				raw, err := hex.DecodeString(f.value)
				if err != nil {
					f.fail("hex digits")
				}
				event.Raw = string(raw)
			}
		case "key-back":
			event.Timer, f.present = f.uint(), f.present|hasTimer
		}
	}
	item.Event = event
	return item, f.require(required)
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
	report := balance.Report{Present: true, InFlight: -1, Waiting: -1, Free: -1}
	rest := f.value
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		name, value, ok := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || x != x || x > 1e18 || x < -1e18 {
			f.fail("a load report")
			return report
		}
		switch name {
		case "active":
			report.InFlight = max(x, 0)
		case "waiting":
			report.Waiting = max(x, 0)
		case "x0":
			report.Free = max(x, 0)
		case "x1":
			report.Memory = max(x, 0.001) // 0 would mean that no memory is reported
		}
	}
	return report
}

// Writer prints the replies to batches.
type Writer struct {
	out   *bufio.Writer
	reply []byte
}

// NewWriter returns a writer of replies that prints to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(w, 1<<16)}
}

// Close ends the reply to the batch with that seq and flushes it.
func (w *Writer) Close(seq uint64) error {
	w.reply = strconv.AppendUint(append(w.reply, "YIELD seq="...), seq, 10)
	w.reply = append(w.reply, '\n')
	_, err := w.out.Write(w.reply)
	w.reply = w.reply[:0]
	if err != nil {
		return err
	}
	return w.out.Flush()
}

// Panic reports that the decision module of an instance has panicked.
func (w *Writer) Panic(instance int, reason string) {
	w.beginLine("PANIC", instance)
	w.reply = append(w.reply, " reason-text="...)
	w.reply = append(w.reply, oneLine(reason)...)
	w.reply = append(w.reply, '\n')
}

// oneLine replaces each run of white space with one space, so that a text fits on one line.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// beginLine begins a line with its tag and the dispatcher's number.
func (w *Writer) beginLine(tag string, instance int) {
	w.reply = append(append(w.reply, tag...), " dispatcher="...)
	w.reply = strconv.AppendInt(w.reply, int64(instance), 10)
}

func (w *Writer) intField(name string, n int64) {
	w.reply = append(append(append(w.reply, ' '), name...), '=')
	w.reply = strconv.AppendInt(w.reply, n, 10)
}

func (w *Writer) textField(name, s string) {
	w.reply = append(append(append(append(w.reply, ' '), name...), '='), s...)
}

// Action prints one action of an instance.
func (w *Writer) Action(instance int, action *balance.Action) {
	switch action.Kind {
	case balance.Send:
		w.beginLine("SEND", instance)
		w.intField("corr", int64(action.Request))
		w.textField("runner", action.Worker)
		if action.After > 0 {
			w.intField("cap-us", action.After.Microseconds())
		}
	case balance.Refuse:
		w.beginLine("DENY", instance)
		w.intField("corr", int64(action.Request))
		if action.After > 0 {
			w.intField("retry-in-us", action.After.Microseconds())
		}
	case balance.Fail:
		w.beginLine("GIVE_UP", instance)
		w.intField("corr", int64(action.Request))
	case balance.Cancel:
		w.beginLine("CALL_OFF", instance)
		w.intField("corr", int64(action.Request))
		w.intField("attempt", int64(action.Attempt))
	case balance.Wake:
		w.beginLine("REMIND", instance)
		w.intField("after-us", action.After.Microseconds())
		w.intField("key-back", int64(action.Timer))
	case balance.Probe:
		w.beginLine("PING", instance)
		w.textField("runner", action.Worker)
	case balance.Subscribe:
		w.beginLine("WATCH", instance)
		w.intField("enable", 1)
	case balance.SendToPeers:
		peers := []string{"*"}
		if action.To != nil {
			peers = peers[:0]
		}
		for _, n := range action.To {
			peers = append(peers, strconv.Itoa(n))
		}
		for i, peer := range peers {
			if i > 0 {
				w.reply = append(w.reply, '\n')
			}
			w.beginLine("WRITE_PEER", instance)
			w.textField("peer", peer)
			w.textField("raw", hex.EncodeToString([]byte(action.Raw)))
		}
	case balance.Log:
		w.beginLine("LOG", instance)
		w.textField("reason-text", oneLine(action.Text))
	}
	w.reply = append(w.reply, '\n')
}
