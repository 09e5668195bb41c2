// Command drill connects the decision code to the simulator's protocol. It reads
// batches of events from standard input, passes each event to the gateway instance
// that it names, and writes one reply per batch to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
	"wickarch/internal/wire"
	"wickarch/subset"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// An instance is one gateway. It implements choice.Actions by adding each action to the reply.
type instance struct {
	*choice.Gateway
	fleet      *fleet.Fleet
	instanceID uint32
	subscribe  bool // discovery sends updates only to subscribers
	reply      *wire.Reply
}

func (n *instance) Send(id, backend uint32, timeout time.Duration) {
	n.reply.Send(n.instanceID, id, backend, timeout)
	n.fleet.Sent()
}
func (n *instance) Refuse(id uint32, after time.Duration) { n.reply.Refuse(n.instanceID, id, after) }
func (n *instance) Fail(id uint32)                        { n.reply.Fail(n.instanceID, id) }
func (n *instance) Cancel(id uint32, attempt int)         { n.reply.Cancel(n.instanceID, id, attempt) }
func (n *instance) Probe(backend uint32)                  { n.reply.Probe(n.instanceID, backend) }
func (n *instance) SetTimer(wait time.Duration, token uint64) {
	n.reply.SetTimer(n.instanceID, wait, token)
}

// run handles batches until the end of input.
func run(in io.Reader, out io.Writer) error {
	var (
		batch     wire.Batch
		reply     wire.Reply
		event     wire.Event
		lists     [16][]choice.Backend
		instances = map[uint32]*instance{}
		r         = bufio.NewReaderSize(in, 1<<16)
		w         = bufio.NewWriterSize(out, 1<<16)
	)
	for {
		if err := batch.ReadBatch(r); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		reply.Reset()
		for i := range batch.Count {
			if err := batch.At(i, &event); err != nil {
				return err
			}
			switch event.Code {
			case wire.CodeList:
				lists[event.List] = append(lists[event.List][:0], event.Backends...)
				continue
			case wire.CodeInit:
				n, err := newInstance(&batch, &event, &reply)
				if err != nil {
					return fmt.Errorf("batch %d, record %d: instance %d: %w", batch.Seq, i, event.Instance, err)
				}
				instances[event.Instance] = n
				continue
			}
			n, ok := instances[event.Instance]
			if !ok {
				return fmt.Errorf("batch %d, record %d: instance %d is unknown", batch.Seq, i, event.Instance)
			}
			if event.Code == wire.CodeStop {
				delete(instances, event.Instance)
				continue
			}
			if event.Code == wire.CodeMembers && event.Kind != choice.Failed && event.List > 15 {
				return fmt.Errorf("batch %d, record %d: list number %d is above 15", batch.Seq, i, event.List)
			}
			deliver(n, batch.Now, &event, &lists)
		}
		if err := reply.Write(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// newInstance creates the gateway that an init event describes.
func newInstance(b *wire.Batch, e *wire.Event, reply *wire.Reply) (*instance, error) {
	cfg, subscribe, err := wire.ParseConfig(e.Config)
	if err != nil {
		return nil, err
	}
	n := &instance{instanceID: e.Instance, subscribe: subscribe, reply: reply}
	if n.Gateway, err = choice.New(cfg, e.Seed, b.Now, n); err != nil {
		return nil, err
	}
	if n.fleet, err = fleet.New(cfg, n.Gateway, b.Now); err != nil {
		return nil, err
	}
	if subscribe {
		reply.Subscribe(n.instanceID)
	}
	return n, nil
}

// deliver passes one event to its instance. A panic is reported as a fault of that instance.
func deliver(n *instance, now time.Duration, e *wire.Event, lists *[16][]choice.Backend) {
	defer func() {
		if p := recover(); p != nil {
			n.reply.Fault(n.instanceID, fmt.Sprint(p))
		}
	}()
	switch e.Code {
	case wire.CodeMembers:
		var list []choice.Backend
		if e.Kind != choice.Failed {
			list = lists[e.List]
		} else if n.subscribe {
			n.reply.Subscribe(n.instanceID)
		}
		n.fleet.Members(now, e.Kind, list, func(b choice.Backend) uint64 { return subset.KeyOf(fmt.Sprint(b.ID)) })
	case wire.CodeRequest:
		n.Request(now, e.Request)
		n.fleet.Step(now)
	case wire.CodeOutcome:
		n.fleet.Ended()
		n.Outcome(now, e.Outcome)
	case wire.CodeProbed:
		n.Probed(now, e.Probe)
	case wire.CodeGone:
		n.Disconnected(now, e.ID)
	case wire.CodeTimer:
		n.Timer(now, e.Token)
	}
}
