package election_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"foxwood/internal/control/election"
	"foxwood/internal/rpc"
	"foxwood/internal/testing/encoding"
)

func TestMessagesKeepTheirEncoding(t *testing.T) {
	assert.Equal(t, rpc.NameOf[election.Message](), "warden.Message")
	encoding.Check[election.Message](t, "warden.Message", cbor.Marshal, cbor.Unmarshal)
}
