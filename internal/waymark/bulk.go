package waymark

import "foxwood/internal/cairn"

// A message between cairns whose bodies are large goes in parts, on a connection of its own: beats
// must not wait behind it, and a cut must not have it begin anew. Bodies are named by their hash, so
// that one that is there already, or in part, is not sent again.

// Parcel is a message without its large bodies, which Blobs name in the order of the message.
type Parcel struct {
	Message cairn.Message `cbor:"1,keyasint,omitempty"`
	Blobs   []Blob        `cbor:"2,keyasint,omitempty"`
}

// Blob names a body: the SHA-256 of it, its bytes, and its bytes as they travel, deflated. At is its
// place among the message's bodies.
type Blob struct {
	At     int    `cbor:"1,keyasint,omitempty"`
	Sum    []byte `cbor:"2,keyasint,omitempty"`
	Len    int    `cbor:"3,keyasint,omitempty"`
	Packed int    `cbor:"4,keyasint,omitempty"`
}

// Wanted answers Parcel: nothing where the message has been taken, or else the first body that is
// lacking, and how much of it is there.
type Wanted struct {
	Sum  []byte `cbor:"1,keyasint,omitempty"`
	Have int    `cbor:"2,keyasint,omitempty"`
}

// Chunk is a part of a body as it travels.
type Chunk struct {
	Blob  Blob   `cbor:"1,keyasint,omitempty"`
	From  int    `cbor:"2,keyasint,omitempty"`
	Bytes []byte `cbor:"3,keyasint,omitempty"`
}

// Taken answers Chunk: how much is there now. Where that is not the end of the chunk, it did not fit.
type Taken struct {
	Have int `cbor:"1,keyasint,omitempty"`
}
