package rpc

import "sync/atomic"

// isolated reports that this process must not send to others.
var isolated atomic.Bool

// Isolate makes all calls from this process to others fail, or ends that. It simulates a network partition in tests
// on one machine, whose loopback links can't be cut.
func Isolate(off bool) { isolated.Store(off) }
