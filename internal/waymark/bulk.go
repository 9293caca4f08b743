package waymark

import "foxwood/internal/cairn"

// Messages with large bodies between configuration stores are sent in chunks on a connection of their own, so that
// heartbeats don't wait behind them and a transfer that was interrupted continues where it stopped. Bodies are
// identified by their hash, so that one which the receiver already holds, in whole or in part, is not sent again.

// Parcel is a message without its large bodies, which Blobs lists in the order of the message.
type Parcel struct {
	Message cairn.Message `cbor:"1,keyasint,omitempty"`
	Blobs   []Blob        `cbor:"2,keyasint,omitempty"`
}

// Blob identifies a body.
type Blob struct {
	At     int    `cbor:"1,keyasint,omitempty"` // index among the message's bodies
	Sum    []byte `cbor:"2,keyasint,omitempty"` // SHA-256 of the inflated body
	Len    int    `cbor:"3,keyasint,omitempty"` // inflated length in bytes
	Packed int    `cbor:"4,keyasint,omitempty"` // deflated length in bytes
}

// Wanted answers Parcel. It is empty if the message was accepted; otherwise it names the first missing body.
type Wanted struct {
	Sum  []byte `cbor:"1,keyasint,omitempty"`
	Have int    `cbor:"2,keyasint,omitempty"` // deflated bytes of the body that are already held
}

// Chunk is a part of a deflated body.
type Chunk struct {
	Blob  Blob   `cbor:"1,keyasint,omitempty"`
	From  int    `cbor:"2,keyasint,omitempty"` // offset in bytes
	Bytes []byte `cbor:"3,keyasint,omitempty"`
}

// Taken answers Chunk with the number of bytes now held. If that is not the end of the chunk, the chunk was rejected
// because it does not continue what is held.
type Taken struct {
	Have int `cbor:"1,keyasint,omitempty"`
}
