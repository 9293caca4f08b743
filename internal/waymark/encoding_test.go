package waymark_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"foxwood/internal/rpc"
	"foxwood/internal/testing/encoding"
	"foxwood/internal/waymark"
)

// checkMessage checks that a message keeps the name and the encoding by which processes of the previous release know it.
func checkMessage[T any](t *testing.T, name string) {
	t.Helper()
	assert.Equal(t, rpc.NameOf[T](), name)
	encoding.Check[T](t, name, cbor.Marshal, cbor.Unmarshal)
}

func TestMessagesKeepTheirEncoding(t *testing.T) {
	checkMessage[waymark.Parcel](t, "waymark.Parcel")
	checkMessage[waymark.Blob](t, "waymark.Blob")
	checkMessage[waymark.Wanted](t, "waymark.Wanted")
	checkMessage[waymark.Chunk](t, "waymark.Chunk")
	checkMessage[waymark.Taken](t, "waymark.Taken")
	checkMessage[waymark.Seen](t, "waymark.Seen")
	checkMessage[waymark.Posted](t, "waymark.Posted")
	checkMessage[waymark.Noted](t, "waymark.Noted")
	checkMessage[waymark.Marks](t, "waymark.Marks")
	checkMessage[waymark.Part](t, "waymark.Part")
	checkMessage[waymark.Subscribe](t, "waymark.Subscribe")
	checkMessage[waymark.Subscribed](t, "waymark.Subscribed")
	checkMessage[waymark.Lend](t, "waymark.Lend")
	checkMessage[waymark.Lent](t, "waymark.Lent")
	checkMessage[waymark.Gather](t, "waymark.Gather")
	checkMessage[waymark.Gathered](t, "waymark.Gathered")
	checkMessage[waymark.AskCopies](t, "waymark.AskCopies")
	checkMessage[waymark.Copies](t, "waymark.Copies")
	checkMessage[waymark.CopyCounts](t, "waymark.CopyCounts")
	checkMessage[waymark.Strain](t, "waymark.Strain")
	checkMessage[waymark.Eased](t, "waymark.Eased")
	checkMessage[waymark.FixLevel](t, "waymark.FixLevel")
	checkMessage[waymark.Struck](t, "waymark.Struck")
	checkMessage[waymark.Sign](t, "waymark.Sign")
	checkMessage[waymark.Signed](t, "waymark.Signed")
	checkMessage[waymark.Crowd](t, "waymark.Crowd")
	checkMessage[waymark.Core](t, "waymark.Core")
	checkMessage[waymark.Worker](t, "waymark.Worker")
	checkMessage[waymark.Roster](t, "waymark.Roster")
	checkMessage[waymark.AskRoster](t, "waymark.AskRoster")
	checkMessage[waymark.Gossip](t, "waymark.Gossip")
	checkMessage[waymark.Heard](t, "waymark.Heard")
	checkMessage[waymark.Draw](t, "waymark.Draw")
	checkMessage[waymark.Tokens](t, "waymark.Tokens")
	checkMessage[waymark.Granted](t, "waymark.Granted")
	checkMessage[waymark.Drawn](t, "waymark.Drawn")
	checkMessage[waymark.Enter](t, "waymark.Enter")
	checkMessage[waymark.Entered](t, "waymark.Entered")
	checkMessage[waymark.Confirm](t, "waymark.Confirm")
	checkMessage[waymark.Confirmed](t, "waymark.Confirmed")
	checkMessage[waymark.Rebuild](t, "waymark.Rebuild")
	checkMessage[waymark.Rebuilt](t, "waymark.Rebuilt")
	checkMessage[waymark.Forget](t, "waymark.Forget")
	checkMessage[waymark.Forgotten](t, "waymark.Forgotten")
	checkMessage[waymark.AskStatus](t, "waymark.AskStatus")
	checkMessage[waymark.Status](t, "waymark.Status")
}
