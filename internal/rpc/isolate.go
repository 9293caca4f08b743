package rpc

import "sync/atomic"

var isolated atomic.Bool

// Isolate cuts this process off from the others it calls, or takes that back. It is for
// rehearsals: on one machine's loopback no link can be cut.
func Isolate(off bool) { isolated.Store(off) }
