// Command simhost is the adapter between the simulator and the decision module. It reads batches
// of messages from standard input and prints the actions of its dispatchers to standard output,
// in the format of package wire. The dispatchers share no state: messages between them go
// through the simulator. Simhost opens no sockets and reads no clock; each batch has its own time.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/pflag"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/config"
	"cottonwell/internal/decision"
	"cottonwell/internal/wire"
)

func main() {
	path := pflag.StringP("operator", "o", "", "the operator's file, as TOML; of it, only [room] counts here")
	pflag.Parse()
	op, err := config.ReadOperator(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(2)
	}
	if err := serve(os.Stdin, os.Stdout, op.PlannerConfig()); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance is one dispatcher.
type instance struct {
	decider *decision.Decider
	failed  bool // set once its decider has panicked; it then receives no more events
}

// host contains the instances of this process and the list buffers of the wire.
type host struct {
	instances     map[int]*instance
	lists         [16][]balance.Member
	out           *wire.Writer
	actions       []balance.Action
	plannerConfig *backfill.Config // of reservations; nil if disabled
}

// serve reads batches from r until r ends, and prints the reply to each to w.
func serve(r io.Reader, w io.Writer, plannerConfig *backfill.Config) error {
	reader := wire.NewReader(r)
	h := &host{instances: map[int]*instance{}, out: wire.NewWriter(w), plannerConfig: plannerConfig}
	var batch wire.Item
	for {
		item, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch item.Kind {
		case wire.Open:
			batch = item
		case wire.Close:
			err = h.out.Close(batch.Seq)
		default:
			item.Now = batch.Now
			if err = h.handleItem(&item); err != nil {
				err = fmt.Errorf("line %d: %w", item.Line, err)
			}
		}
		if err != nil {
			return err
		}
	}
}

// handleItem handles one item of a batch.
func (h *host) handleItem(item *wire.Item) error {
	switch item.Kind {
	case wire.Page:
		h.lists[item.Buffer] = item.Members
		return nil
	case wire.Stop:
		if _, ok := h.instances[item.Instance]; !ok {
			return fmt.Errorf("a message for unknown dispatcher %d", item.Instance)
		}
		delete(h.instances, item.Instance)
		return nil
	case wire.Start:
		decider, err := decision.New(item.Settings, item.Seed, h.plannerConfig)
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", item.Instance, err)
		}
		h.instances[item.Instance] = &instance{decider: decider}
		return nil
	case wire.List:
		if item.Event.List != balance.RequestFailed {
			item.Event.Members = h.lists[item.Buffer]
		}
	}
	inst, ok := h.instances[item.Instance]
	if !ok {
		return fmt.Errorf("a message for unknown dispatcher %d", item.Instance)
	}
	if !inst.failed {
		h.step(inst, item)
	}
	return nil
}

// step runs one decision of an instance and prints the actions. On a panic it prints a PANIC
// message and marks the instance as failed.
func (h *host) step(inst *instance, item *wire.Item) {
	defer func() {
		if v := recover(); v != nil {
			inst.failed = true
			h.out.Panic(item.Instance, fmt.Sprint(v))
		}
	}()
	h.actions = inst.decider.Step(item.Now, &item.Event, h.actions[:0])
	for i := range h.actions {
		h.out.Action(item.Instance, &h.actions[i])
	}
}
