package link

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Protocol is how executions are sent to a worker.
type Protocol int

// The protocols. Only HTTP1 is part of the platform's specification.
const (
	HTTP1    Protocol = iota // HTTP/1.1, one execution at a time on a connection
	Pipeline                 // HTTP/1.1 with pipelining (RFC 9112, section 9.3.2)
	HTTP2                    // HTTP/2 in cleartext with prior knowledge (RFC 9113, section 3.3)
	Batch                    // items in a bidirectional stream of messages (docs/batch-protocol.md)
)

var protocolNames = [...]string{"one-at-a-time", "pipeline", "http2", "batch"}

// String returns the protocol's name in the configuration file.
func (c Protocol) String() string { return protocolNames[c] }

// ProtocolNames lists the names that the configuration file accepts.
func ProtocolNames() string { return strings.Join(protocolNames[:], ", ") }

// ParseProtocol returns the protocol with the given name. The empty name means HTTP1.
func ParseProtocol(name string) (c Protocol, ok bool) {
	if name == "" {
		return HTTP1, true
	}
	i := slices.Index(protocolNames[:], name)
	return Protocol(max(i, 0)), i >= 0
}

// Transport configures the connections to the workers of a pool. Fields that are zero take
// their defaults.
type Transport struct {
	Protocol Protocol
	// MaxInFlight bounds the requests in a pipeline, or the streams or items in flight on an
	// HTTP2 or Batch connection. The worker may allow fewer.
	MaxInFlight int
	// MaxConns bounds the connections to one worker. HTTP1 is bounded by the connection budget
	// only.
	MaxConns int
	// BatchDelayMS is the longest time in milliseconds that an item waits for others to join
	// its message. Batch only.
	BatchDelayMS float64
	// EchoHeader names the header that a worker copies from a request into its response.
	// Pipeline only. A worker that does not copy it is sent one request at a time.
	EchoHeader string
	// Path is the URL path of the batch endpoint. Batch only.
	Path string
}

// Defaults for what the configuration file leaves out, and the limits of its values.
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

// Validate returns the first invalid setting as an error, or nil.
func (t Transport) Validate() error {
	switch {
	case t.MaxInFlight < 0 || t.MaxInFlight > maxDepth:
		return fmt.Errorf("depth must be from 1 to %d, got %d", maxDepth, t.MaxInFlight)
	case t.MaxConns < 0:
		return fmt.Errorf("links must be at least 1, got %d", t.MaxConns)
	case t.BatchDelayMS < 0 || t.BatchDelayMS > maxGatherMS:
		return fmt.Errorf("gather_ms must be from 0 to %g, got %g", maxGatherMS, t.BatchDelayMS)
	case t.EchoHeader != "" && t.Protocol != Pipeline:
		return errors.New("echo is only valid for the transport pipeline")
	case (t.BatchDelayMS != 0 || t.Path != "") && t.Protocol != Batch:
		return errors.New("gather_ms and path belong to the transport batch")
	case t.Path != "" && t.Path[0] != '/':
		return fmt.Errorf("path must begin with a slash, got %q", t.Path)
	case t.Protocol == HTTP1 && (t.MaxInFlight != 0 || t.MaxConns != 0):
		return errors.New("depth and links are not valid for the transport one-at-a-time")
	}
	return nil
}

// withDefaults returns the transport with zero fields replaced by their defaults.
func (t Transport) withDefaults() Transport {
	depth, links := defaultStreams, defaultMuxConns
	if t.Protocol == Pipeline {
		depth, links = defaultPipelineDepth, defaultPipelineConns
	}
	if t.MaxInFlight == 0 {
		t.MaxInFlight = depth
	}
	if t.MaxConns == 0 {
		t.MaxConns = links
	}
	if t.BatchDelayMS == 0 {
		t.BatchDelayMS = defaultGatherMS
	}
	if t.EchoHeader == "" {
		t.EchoHeader = defaultEcho
	}
	if t.Path == "" {
		t.Path = defaultPath
	}
	return t
}
