// Command simhost hosts instances of the decision module on the simulator's
// wire: a batch of events a line on standard input, a reply a line on standard
// output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"indigotack/decide"
	"indigotack/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	nodes := map[int]*decide.Module{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := answer(nodes, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply = wire.AppendReply(reply[:0], replies)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func answer(nodes map[int]*decide.Module, line []byte) ([]wire.Reply, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.Reply
	for _, g := range batch.Groups {
		reply := wire.Reply{Node: g.Node}
		for i, h := range g.Events {
			switch {
			case h.Start != nil:
				nodes[g.Node] = decide.New(h.Start.Settings, h.Start.Seed)
			case h.Retire:
				delete(nodes, g.Node)
				reply.Actions = nil // a dead instance does nothing
			default:
				m := nodes[g.Node]
				if m == nil {
					return nil, fmt.Errorf("node %d, event %d: no up came before it", g.Node, i)
				}
				reply.Actions = append(reply.Actions, m.Handle(batch.Now, h.Event)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
