// Command simhost hosts dispatchers, each wholly separate from the others, and
// speaks the wire on standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/pflag"

	"cottonwell/balance"
	"cottonwell/internal/config"
	"cottonwell/internal/decide"
	"cottonwell/internal/room"
	"cottonwell/internal/wire"
)

func main() {
	operator := pflag.StringP("operator", "o", "", "the operator's file, as TOML; of it, only [room] counts here")
	pflag.Parse()
	op, err := config.ReadOperator(*operator)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(2)
	}
	if err := serve(os.Stdin, os.Stdout, op.Plan()); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance is one dispatcher; failed is set once its decisions have panicked.
type instance struct {
	b      *decide.Decider
	failed bool
}

// host holds the instances of this process and the numbered lists of the wire.
type host struct {
	instances map[int]*instance
	pages     [16][]balance.Member
	out       *wire.Writer
	acts      []balance.Action
	plan      *room.Config // of held room; nil: off
}

// serve answers every batch read from r on w, until r ends.
func serve(r io.Reader, w io.Writer, plan *room.Config) error {
	in := wire.NewReader(r)
	h := &host{instances: map[int]*instance{}, out: wire.NewWriter(w), plan: plan}
	var batch wire.Item
	for {
		it, err := in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch it.Kind {
		case wire.Open:
			batch = it
		case wire.Close:
			err = h.out.Close(batch.Seq)
		default:
			it.Now = batch.Now
			if err = h.take(&it); err != nil {
				err = fmt.Errorf("line %d: %w", it.Line, err)
			}
		}
		if err != nil {
			return err
		}
	}
}

// take handles one item of a batch.
func (h *host) take(it *wire.Item) error {
	switch it.Kind {
	case wire.Page:
		h.pages[it.Buffer] = it.Members
		return nil
	case wire.Stop:
		if _, ok := h.instances[it.Instance]; !ok {
			return fmt.Errorf("a message for unknown dispatcher %d", it.Instance)
		}
		delete(h.instances, it.Instance)
		return nil
	case wire.Start:
		b, err := decide.New(it.Settings, it.Seed, h.plan)
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", it.Instance, err)
		}
		h.instances[it.Instance] = &instance{b: b}
		return nil
	case wire.List:
		if it.Event.List != balance.AskFailed {
			it.Event.Members = h.pages[it.Buffer]
		}
	}
	in, ok := h.instances[it.Instance]
	if !ok {
		return fmt.Errorf("a message for unknown dispatcher %d", it.Instance)
	}
	if !in.failed {
		h.step(in, it)
	}
	return nil
}

// step runs one decision and prints its actions; a panic becomes a message for that instance alone.
func (h *host) step(in *instance, it *wire.Item) {
	defer func() {
		if v := recover(); v != nil {
			in.failed = true
			h.out.Panic(it.Instance, fmt.Sprint(v))
		}
	}()
	h.acts = in.b.Step(it.Now, &it.Event, h.acts[:0])
	for i := range h.acts {
		h.out.Action(it.Instance, &h.acts[i])
	}
}
