package link

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Carrier is a way of carrying executions to a worker.
type Carrier int

// The carriers. Only the first is within the platform's protocol.
const (
	OneAtATime Carrier = iota // HTTP/1.1, one execution at a time on a link
	Pipeline                  // HTTP/1.1, several in a line (RFC 9112, section 9.3.2)
	HTTP2                     // HTTP/2 in cleartext with prior knowledge (RFC 9113, section 3.3)
	Batch                     // items in a two-way stream of messages (docs/batch-protocol.md)
)

var protocolNames = [...]string{"one-at-a-time", "pipeline", "http2", "batch"}

// String is the name that an operator's file uses.
func (c Carrier) String() string { return protocolNames[c] }

// CarrierNames lists the names that an operator's file may use.
func CarrierNames() string { return strings.Join(protocolNames[:], ", ") }

// CarrierOf is the carrier with a name; the empty name is OneAtATime.
func CarrierOf(name string) (c Carrier, ok bool) {
	if name == "" {
		return OneAtATime, true
	}
	i := slices.Index(protocolNames[:], name)
	return Carrier(max(i, 0)), i >= 0
}

// Transport is how the workers of a pool are spoken to. Zero values stand for the
// defaults.
type Transport struct {
	Carrier Carrier
	// Depth is the most executions in a line, of a Pipeline link, or the most streams
	// and items out on an HTTP2 or Batch link, below what the worker allows.
	Depth int
	// Links is the most links to one worker; OneAtATime has no bound but the budget.
	Links int
	// Gather is the most milliseconds that an item waits for others: Batch only.
	Gather float64
	// Echo is the header that a worker copies from a request into its answer:
	// Pipeline only. A worker that does not is sent one request at a time.
	Echo string
	// Path is what Batch posts to.
	Path string
}

// What holds where an operator's file does not say.
const (
	defaultPipelineDepth = 4
	defaultStreams       = 64
	defaultPipelineConns = 8
	defaultMuxConns      = 2
	defaultGatherMS      = 0.0
	defaultEcho          = "X-Link-Turn"
	defaultPath          = "/batch"
	maxGatherMS          = 20.0
	maxDepth             = 1 << 10
)

// Check tells what is wrong with a transport, and names the first such.
func (t Transport) Check() error {
	switch {
	case t.Depth < 0 || t.Depth > maxDepth:
		return fmt.Errorf("depth %d is not from 1 to %d", t.Depth, maxDepth)
	case t.Links < 0:
		return fmt.Errorf("links %d is below 1", t.Links)
	case t.Gather < 0 || t.Gather > maxGatherMS:
		return fmt.Errorf("gather_ms %g is not from 0 to %g", t.Gather, maxGatherMS)
	case t.Echo != "" && t.Carrier != Pipeline:
		return errors.New("echo belongs to the transport pipeline")
	case (t.Gather != 0 || t.Path != "") && t.Carrier != Batch:
		return errors.New("gather_ms and path belong to the transport batch")
	case t.Path != "" && t.Path[0] != '/':
		return fmt.Errorf("path %q does not begin with a slash", t.Path)
	case t.Carrier == OneAtATime && (t.Depth != 0 || t.Links != 0):
		return errors.New("one-at-a-time has neither depth nor links")
	}
	return nil
}

// filled is the transport with its defaults.
func (t Transport) withDefaults() Transport {
	depth, links := defaultStreams, defaultMuxConns
	if t.Carrier == Pipeline {
		depth, links = defaultPipelineDepth, defaultPipelineConns
	}
	if t.Depth == 0 {
		t.Depth = depth
	}
	if t.Links == 0 {
		t.Links = links
	}
	if t.Gather == 0 {
		t.Gather = defaultGatherMS
	}
	if t.Echo == "" {
		t.Echo = defaultEcho
	}
	if t.Path == "" {
		t.Path = defaultPath
	}
	return t
}
