package api

// Processes of different releases call each other. Each message therefore keeps the name under which it was first
// released, whatever its type and package are called in the source.

// CallName implements rpc.CallNamer.
func (BulkMessage) CallName() string { return "waymark.Parcel" }

// CallName implements rpc.CallNamer.
func (BodyRef) CallName() string { return "waymark.Blob" }

// CallName implements rpc.CallNamer.
func (MissingBody) CallName() string { return "waymark.Wanted" }

// CallName implements rpc.CallNamer.
func (BodyChunk) CallName() string { return "waymark.Chunk" }

// CallName implements rpc.CallNamer.
func (BodyChunkAck) CallName() string { return "waymark.Taken" }

// CallName implements rpc.CallNamer.
func (OutlierReport) CallName() string { return "waymark.Seen" }

// CallName implements rpc.CallNamer.
func (OutlierAnnouncement) CallName() string { return "waymark.Posted" }

// CallName implements rpc.CallNamer.
func (OutlierAck) CallName() string { return "waymark.Noted" }

// CallName implements rpc.CallNamer.
func (EndpointChanges) CallName() string { return "waymark.Marks" }

// CallName implements rpc.CallNamer.
func (DestinationEndpoints) CallName() string { return "waymark.Part" }

// CallName implements rpc.CallNamer.
func (SubscribeRequest) CallName() string { return "waymark.Subscribe" }

// CallName implements rpc.CallNamer.
func (SubscribeResponse) CallName() string { return "waymark.Subscribed" }

// CallName implements rpc.CallNamer.
func (PeerSyncRequest) CallName() string { return "waymark.Lend" }

// CallName implements rpc.CallNamer.
func (PeerSyncResponse) CallName() string { return "waymark.Lent" }

// CallName implements rpc.CallNamer.
func (CollectRequest) CallName() string { return "waymark.Gather" }

// CallName implements rpc.CallNamer.
func (CollectResponse) CallName() string { return "waymark.Gathered" }

// CallName implements rpc.CallNamer.
func (MirrorStatusRequest) CallName() string { return "waymark.AskCopies" }

// CallName implements rpc.CallNamer.
func (MirrorStatusResponse) CallName() string { return "waymark.Copies" }

// CallName implements rpc.CallNamer.
func (MirrorCounters) CallName() string { return "waymark.CopyCounts" }

// CallName implements rpc.CallNamer.
func (PressureReport) CallName() string { return "waymark.Strain" }

// CallName implements rpc.CallNamer.
func (SheddingLevel) CallName() string { return "waymark.Eased" }

// CallName implements rpc.CallNamer.
func (FixSheddingLevel) CallName() string { return "waymark.FixLevel" }

// CallName implements rpc.CallNamer.
func (WithdrawnWorker) CallName() string { return "waymark.Struck" }

// CallName implements rpc.CallNamer.
func (SessionRequest) CallName() string { return "waymark.Sign" }

// CallName implements rpc.CallNamer.
func (SessionResponse) CallName() string { return "waymark.Signed" }

// CallName implements rpc.CallNamer.
func (MemberView) CallName() string { return "waymark.Crowd" }

// CallName implements rpc.CallNamer.
func (Registry) CallName() string { return "waymark.Core" }

// CallName implements rpc.CallNamer.
func (Worker) CallName() string { return "waymark.Worker" }

// CallName implements rpc.CallNamer.
func (EndpointList) CallName() string { return "waymark.Roster" }

// CallName implements rpc.CallNamer.
func (EndpointListRequest) CallName() string { return "waymark.AskRoster" }

// CallName implements rpc.CallNamer.
func (Gossip) CallName() string { return "waymark.Gossip" }

// CallName implements rpc.CallNamer.
func (GossipResponse) CallName() string { return "waymark.Heard" }

// CallName implements rpc.CallNamer.
func (AllocationRequest) CallName() string { return "waymark.Draw" }

// CallName implements rpc.CallNamer.
func (TokenRequest) CallName() string { return "waymark.Tokens" }

// CallName implements rpc.CallNamer.
func (TokenResponse) CallName() string { return "waymark.Granted" }

// CallName implements rpc.CallNamer.
func (AllocationResponse) CallName() string { return "waymark.Drawn" }

// CallName implements rpc.CallNamer.
func (CommitRequest) CallName() string { return "waymark.Enter" }

// CallName implements rpc.CallNamer.
func (CommitResponse) CallName() string { return "waymark.Entered" }

// CallName implements rpc.CallNamer.
func (CommittedStateRequest) CallName() string { return "waymark.Confirm" }

// CallName implements rpc.CallNamer.
func (CommittedStateResponse) CallName() string { return "waymark.Confirmed" }

// CallName implements rpc.CallNamer.
func (RebuildRequest) CallName() string { return "waymark.Rebuild" }

// CallName implements rpc.CallNamer.
func (RebuildResponse) CallName() string { return "waymark.Rebuilt" }

// CallName implements rpc.CallNamer.
func (RemoveNodeRequest) CallName() string { return "waymark.Forget" }

// CallName implements rpc.CallNamer.
func (RemoveNodeResponse) CallName() string { return "waymark.Forgotten" }

// CallName implements rpc.CallNamer.
func (StatusRequest) CallName() string { return "waymark.AskStatus" }

// CallName implements rpc.CallNamer.
func (StatusResponse) CallName() string { return "waymark.Status" }
