// Command benchlink runs instances of the decision module (package policy) for the
// simulator. It reads frames of events from standard input, passes the events to the
// instances and writes the instances' actions to standard output. Instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"foxwood/internal/gateway/settings"
	"foxwood/internal/wire"
	"foxwood/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// adapter holds the running instances and the reply to the current frame.
type adapter struct {
	gateways map[int]*policy.Gateway // by the simulator's number
	current  int                     // the instance that the next records are for, -1 if none was named in the frame
	reply    wire.ActionFrame
}

// serve answers each frame read from in with one written to out, until in ends.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	a := &adapter{gateways: map[int]*policy.Gateway{}}
	var frame []byte
	for {
		read, err := wire.ReadFrame(r, frame)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		frame = read
		a.reply.Reset()
		if err := a.handleFrame(frame); err != nil {
			return err
		}
		if _, err := out.Write(a.reply.Bytes()); err != nil {
			return err
		}
	}
}

// handleFrame passes the records of one frame to their instances.
func (a *adapter) handleFrame(frame []byte) error {
	b, err := wire.NewEventFrame(frame)
	if err != nil {
		return err
	}
	a.current = -1
	for i := range b.Records {
		code := b.U8()
		if err := a.handleRecord(&b, code); err != nil {
			return fmt.Errorf("record %d, code %d: %w", i, code, err)
		}
	}
	if b.Remaining() > 0 {
		return fmt.Errorf("frame has %d bytes after its last record, want none", b.Remaining())
	}
	return nil
}

// handleRecord reads one record and calls the instance that it is for. A panic of the decision
// module is reported as a DIE action.
func (a *adapter) handleRecord(b *wire.EventFrame, code uint8) error {
	if code == wire.CodeOn {
		a.current = int(b.U16())
		a.reply.SelectInstance(a.current)
		return b.Err()
	}
	if a.current < 0 && b.Err() == nil {
		return errors.New("want an ON record before the first event of a frame, got none")
	}
	call, err := a.decodeCall(b, code)
	if err == nil {
		err = b.Err()
	}
	if err != nil || call == nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			a.reply.Die(fmt.Sprint(p))
		}
	}()
	call(a.gateways[a.current])
	return nil
}

// decodeCall decodes a record and returns the call of the decision module that it requires, or
// nil if it requires none.
func (a *adapter) decodeCall(b *wire.EventFrame, code uint8) (func(*policy.Gateway), error) {
	now, host := b.Time, &a.reply
	var call func(*policy.Gateway)
	switch code {
	case wire.CodeBorn:
		seed, text := b.Born()
		if b.Err() != nil {
			return nil, b.Err()
		}
		s, _, err := settings.Parse(text)
		if err != nil {
			return nil, err
		}
		return func(*policy.Gateway) {
			g := policy.New(s, seed)
			a.gateways[a.current] = g
			g.Start(now, host)
		}, nil
	case wire.CodeHalt:
		delete(a.gateways, a.current)
		return nil, nil
	case wire.CodeNote:
		b.Note() // the module does not exchange messages
		return nil, nil
	case wire.CodeAdded:
		name, delay, status, total := b.Added()
		call = func(g *policy.Gateway) { g.CounterResult(now, host, name, delay, status, total) }
	case wire.CodeGone:
		id := b.U32()
		call = func(g *policy.Gateway) { g.ClientGone(now, host, id) }
	case wire.CodeStreaming:
		b.Streaming() // not needed: the module does not withdraw an attempt, whether its answer has started or not
		return nil, nil
	case wire.CodeElapsed:
		token := b.U64()
		call = func(g *policy.Gateway) { g.Timer(now, host, token) }
	case wire.CodeSync:
		kind, entries := b.Sync()
		call = func(g *policy.Gateway) { g.Servers(now, host, kind, entries) }
	case wire.CodeProbeDone:
		b.ProbeDone() // the module never requests a probe
		return nil, nil
	case wire.CodeReq:
		r := b.Request()
		call = func(g *policy.Gateway) { g.Request(now, host, r) }
	case wire.CodeDone:
		o := b.Outcome()
		call = func(g *policy.Gateway) { g.Outcome(now, host, o) }
	default:
		return nil, fmt.Errorf("unknown record code, want %d to %d", wire.CodeBorn, wire.CodeDone)
	}
	if a.gateways[a.current] == nil {
		return nil, nil // events for an instance that does not run are ignored
	}
	return call, nil
}
