package api

import "foxwood/internal/configstore/chain"

// Messages with large bodies between configuration stores are sent in chunks on a connection of their own, so that
// heartbeats don't wait behind them and a transfer that was interrupted continues where it stopped. Bodies are
// identified by their hash, so that one which the receiver already holds, in whole or in part, is not sent again.

// BulkMessage is a message without its large bodies, which Bodies lists in the order of the message.
type BulkMessage struct {
	Message chain.Message `cbor:"1,keyasint,omitempty"`
	Bodies  []BodyRef     `cbor:"2,keyasint,omitempty"`
}

// BodyRef identifies a body.
type BodyRef struct {
	Index          int    `cbor:"1,keyasint,omitempty"` // among the message's bodies
	SHA256         []byte `cbor:"2,keyasint,omitempty"` // of the inflated body
	Length         int    `cbor:"3,keyasint,omitempty"` // inflated length in bytes
	DeflatedLength int    `cbor:"4,keyasint,omitempty"` // deflated length in bytes
}

// MissingBody answers BulkMessage. It is empty if the message was accepted; otherwise it names the first missing body.
type MissingBody struct {
	SHA256    []byte `cbor:"1,keyasint,omitempty"`
	HeldBytes int    `cbor:"2,keyasint,omitempty"` // deflated bytes of the body that are already held
}

// BodyChunk is a part of a deflated body.
type BodyChunk struct {
	Body   BodyRef `cbor:"1,keyasint,omitempty"`
	Offset int     `cbor:"2,keyasint,omitempty"` // in bytes
	Bytes  []byte  `cbor:"3,keyasint,omitempty"`
}

// BodyChunkAck answers BodyChunk with the number of bytes now held. If that is not the end of the chunk, the chunk was rejected
// because it does not continue what is held.
type BodyChunkAck struct {
	HeldBytes int `cbor:"1,keyasint,omitempty"`
}
