package api_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/internal/testing/encoding"
)

// checkMessage checks that a message keeps the name and the encoding by which processes of the previous release know it.
func checkMessage[T any](t *testing.T, name string) {
	t.Helper()
	assert.Equal(t, rpc.NameOf[T](), name)
	encoding.Check[T](t, name, cbor.Marshal, cbor.Unmarshal)
}

func TestMessagesKeepTheirEncoding(t *testing.T) {
	checkMessage[api.BulkMessage](t, "waymark.Parcel")
	checkMessage[api.BodyRef](t, "waymark.Blob")
	checkMessage[api.MissingBody](t, "waymark.Wanted")
	checkMessage[api.BodyChunk](t, "waymark.Chunk")
	checkMessage[api.BodyChunkAck](t, "waymark.Taken")
	checkMessage[api.OutlierReport](t, "waymark.Seen")
	checkMessage[api.OutlierAnnouncement](t, "waymark.Posted")
	checkMessage[api.OutlierAck](t, "waymark.Noted")
	checkMessage[api.EndpointChanges](t, "waymark.Marks")
	checkMessage[api.DestinationEndpoints](t, "waymark.Part")
	checkMessage[api.SubscribeRequest](t, "waymark.Subscribe")
	checkMessage[api.SubscribeResponse](t, "waymark.Subscribed")
	checkMessage[api.PeerSyncRequest](t, "waymark.Lend")
	checkMessage[api.PeerSyncResponse](t, "waymark.Lent")
	checkMessage[api.CollectRequest](t, "waymark.Gather")
	checkMessage[api.CollectResponse](t, "waymark.Gathered")
	checkMessage[api.MirrorStatusRequest](t, "waymark.AskCopies")
	checkMessage[api.MirrorStatusResponse](t, "waymark.Copies")
	checkMessage[api.MirrorCounters](t, "waymark.CopyCounts")
	checkMessage[api.PressureReport](t, "waymark.Strain")
	checkMessage[api.SheddingLevel](t, "waymark.Eased")
	checkMessage[api.FixSheddingLevel](t, "waymark.FixLevel")
	checkMessage[api.WithdrawnWorker](t, "waymark.Struck")
	checkMessage[api.SessionRequest](t, "waymark.Sign")
	checkMessage[api.SessionResponse](t, "waymark.Signed")
	checkMessage[api.MemberView](t, "waymark.Crowd")
	checkMessage[api.Registry](t, "waymark.Core")
	checkMessage[api.Worker](t, "waymark.Worker")
	checkMessage[api.EndpointList](t, "waymark.Roster")
	checkMessage[api.EndpointListRequest](t, "waymark.AskRoster")
	checkMessage[api.Gossip](t, "waymark.Gossip")
	checkMessage[api.GossipResponse](t, "waymark.Heard")
	checkMessage[api.AllocationRequest](t, "waymark.Draw")
	checkMessage[api.TokenRequest](t, "waymark.Tokens")
	checkMessage[api.TokenResponse](t, "waymark.Granted")
	checkMessage[api.AllocationResponse](t, "waymark.Drawn")
	checkMessage[api.CommitRequest](t, "waymark.Enter")
	checkMessage[api.CommitResponse](t, "waymark.Entered")
	checkMessage[api.CommittedStateRequest](t, "waymark.Confirm")
	checkMessage[api.CommittedStateResponse](t, "waymark.Confirmed")
	checkMessage[api.RebuildRequest](t, "waymark.Rebuild")
	checkMessage[api.RebuildResponse](t, "waymark.Rebuilt")
	checkMessage[api.RemoveNodeRequest](t, "waymark.Forget")
	checkMessage[api.RemoveNodeResponse](t, "waymark.Forgotten")
	checkMessage[api.StatusRequest](t, "waymark.AskStatus")
	checkMessage[api.StatusResponse](t, "waymark.Status")
}
