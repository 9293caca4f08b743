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
	checkMessage[waymark.BulkMessage](t, "waymark.Parcel")
	checkMessage[waymark.BodyRef](t, "waymark.Blob")
	checkMessage[waymark.MissingBody](t, "waymark.Wanted")
	checkMessage[waymark.BodyChunk](t, "waymark.Chunk")
	checkMessage[waymark.BodyChunkAck](t, "waymark.Taken")
	checkMessage[waymark.OutlierReport](t, "waymark.Seen")
	checkMessage[waymark.OutlierAnnouncement](t, "waymark.Posted")
	checkMessage[waymark.OutlierAck](t, "waymark.Noted")
	checkMessage[waymark.EndpointChanges](t, "waymark.Marks")
	checkMessage[waymark.DestinationEndpoints](t, "waymark.Part")
	checkMessage[waymark.SubscribeRequest](t, "waymark.Subscribe")
	checkMessage[waymark.SubscribeResponse](t, "waymark.Subscribed")
	checkMessage[waymark.PeerSyncRequest](t, "waymark.Lend")
	checkMessage[waymark.PeerSyncResponse](t, "waymark.Lent")
	checkMessage[waymark.CollectRequest](t, "waymark.Gather")
	checkMessage[waymark.CollectResponse](t, "waymark.Gathered")
	checkMessage[waymark.MirrorStatusRequest](t, "waymark.AskCopies")
	checkMessage[waymark.MirrorStatusResponse](t, "waymark.Copies")
	checkMessage[waymark.MirrorCounters](t, "waymark.CopyCounts")
	checkMessage[waymark.PressureReport](t, "waymark.Strain")
	checkMessage[waymark.SheddingLevel](t, "waymark.Eased")
	checkMessage[waymark.FixSheddingLevel](t, "waymark.FixLevel")
	checkMessage[waymark.WithdrawnWorker](t, "waymark.Struck")
	checkMessage[waymark.SessionRequest](t, "waymark.Sign")
	checkMessage[waymark.SessionResponse](t, "waymark.Signed")
	checkMessage[waymark.MemberView](t, "waymark.Crowd")
	checkMessage[waymark.Registry](t, "waymark.Core")
	checkMessage[waymark.Worker](t, "waymark.Worker")
	checkMessage[waymark.EndpointList](t, "waymark.Roster")
	checkMessage[waymark.EndpointListRequest](t, "waymark.AskRoster")
	checkMessage[waymark.Gossip](t, "waymark.Gossip")
	checkMessage[waymark.GossipResponse](t, "waymark.Heard")
	checkMessage[waymark.AllocationRequest](t, "waymark.Draw")
	checkMessage[waymark.TokenRequest](t, "waymark.Tokens")
	checkMessage[waymark.TokenResponse](t, "waymark.Granted")
	checkMessage[waymark.AllocationResponse](t, "waymark.Drawn")
	checkMessage[waymark.CommitRequest](t, "waymark.Enter")
	checkMessage[waymark.CommitResponse](t, "waymark.Entered")
	checkMessage[waymark.CommittedStateRequest](t, "waymark.Confirm")
	checkMessage[waymark.CommittedStateResponse](t, "waymark.Confirmed")
	checkMessage[waymark.RebuildRequest](t, "waymark.Rebuild")
	checkMessage[waymark.RebuildResponse](t, "waymark.Rebuilt")
	checkMessage[waymark.RemoveNodeRequest](t, "waymark.Forget")
	checkMessage[waymark.RemoveNodeResponse](t, "waymark.Forgotten")
	checkMessage[waymark.StatusRequest](t, "waymark.AskStatus")
	checkMessage[waymark.StatusResponse](t, "waymark.Status")
}
