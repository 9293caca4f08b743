package rpc

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"foxwood/internal/testing/encoding"
)

func TestFramesKeepTheirEncoding(t *testing.T) {
	body, err := encMode.Marshal([]float64{0.5, 1e300})
	assert.NilError(t, err)
	f := frame{ID: 300, Name: "waymark.Sign", Kind: Stale, Reason: "no", Body: cbor.RawMessage(body)}
	encoded, err := encode(f)
	assert.NilError(t, err)
	encoding.CheckBytes(t, "frame", encoded)
	decoded, err := decode(bufio.NewReader(bytes.NewReader(encoded)))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, f)
}
