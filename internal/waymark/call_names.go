package waymark

// Processes of different releases call each other. Each message therefore keeps the name under which it was first
// released, whatever its type and package are called in the source.

// CallName implements rpc.Named.
func (Parcel) CallName() string { return "waymark.Parcel" }

// CallName implements rpc.Named.
func (Blob) CallName() string { return "waymark.Blob" }

// CallName implements rpc.Named.
func (Wanted) CallName() string { return "waymark.Wanted" }

// CallName implements rpc.Named.
func (Chunk) CallName() string { return "waymark.Chunk" }

// CallName implements rpc.Named.
func (Taken) CallName() string { return "waymark.Taken" }

// CallName implements rpc.Named.
func (Seen) CallName() string { return "waymark.Seen" }

// CallName implements rpc.Named.
func (Posted) CallName() string { return "waymark.Posted" }

// CallName implements rpc.Named.
func (Noted) CallName() string { return "waymark.Noted" }

// CallName implements rpc.Named.
func (Marks) CallName() string { return "waymark.Marks" }

// CallName implements rpc.Named.
func (Part) CallName() string { return "waymark.Part" }

// CallName implements rpc.Named.
func (Subscribe) CallName() string { return "waymark.Subscribe" }

// CallName implements rpc.Named.
func (Subscribed) CallName() string { return "waymark.Subscribed" }

// CallName implements rpc.Named.
func (Lend) CallName() string { return "waymark.Lend" }

// CallName implements rpc.Named.
func (Lent) CallName() string { return "waymark.Lent" }

// CallName implements rpc.Named.
func (Gather) CallName() string { return "waymark.Gather" }

// CallName implements rpc.Named.
func (Gathered) CallName() string { return "waymark.Gathered" }

// CallName implements rpc.Named.
func (AskCopies) CallName() string { return "waymark.AskCopies" }

// CallName implements rpc.Named.
func (Copies) CallName() string { return "waymark.Copies" }

// CallName implements rpc.Named.
func (CopyCounts) CallName() string { return "waymark.CopyCounts" }

// CallName implements rpc.Named.
func (Strain) CallName() string { return "waymark.Strain" }

// CallName implements rpc.Named.
func (Eased) CallName() string { return "waymark.Eased" }

// CallName implements rpc.Named.
func (FixLevel) CallName() string { return "waymark.FixLevel" }

// CallName implements rpc.Named.
func (Struck) CallName() string { return "waymark.Struck" }

// CallName implements rpc.Named.
func (Sign) CallName() string { return "waymark.Sign" }

// CallName implements rpc.Named.
func (Signed) CallName() string { return "waymark.Signed" }

// CallName implements rpc.Named.
func (Crowd) CallName() string { return "waymark.Crowd" }

// CallName implements rpc.Named.
func (Core) CallName() string { return "waymark.Core" }

// CallName implements rpc.Named.
func (Worker) CallName() string { return "waymark.Worker" }

// CallName implements rpc.Named.
func (Roster) CallName() string { return "waymark.Roster" }

// CallName implements rpc.Named.
func (AskRoster) CallName() string { return "waymark.AskRoster" }

// CallName implements rpc.Named.
func (Gossip) CallName() string { return "waymark.Gossip" }

// CallName implements rpc.Named.
func (Heard) CallName() string { return "waymark.Heard" }

// CallName implements rpc.Named.
func (Draw) CallName() string { return "waymark.Draw" }

// CallName implements rpc.Named.
func (Tokens) CallName() string { return "waymark.Tokens" }

// CallName implements rpc.Named.
func (Granted) CallName() string { return "waymark.Granted" }

// CallName implements rpc.Named.
func (Drawn) CallName() string { return "waymark.Drawn" }

// CallName implements rpc.Named.
func (Enter) CallName() string { return "waymark.Enter" }

// CallName implements rpc.Named.
func (Entered) CallName() string { return "waymark.Entered" }

// CallName implements rpc.Named.
func (Confirm) CallName() string { return "waymark.Confirm" }

// CallName implements rpc.Named.
func (Confirmed) CallName() string { return "waymark.Confirmed" }

// CallName implements rpc.Named.
func (Rebuild) CallName() string { return "waymark.Rebuild" }

// CallName implements rpc.Named.
func (Rebuilt) CallName() string { return "waymark.Rebuilt" }

// CallName implements rpc.Named.
func (Forget) CallName() string { return "waymark.Forget" }

// CallName implements rpc.Named.
func (Forgotten) CallName() string { return "waymark.Forgotten" }

// CallName implements rpc.Named.
func (AskStatus) CallName() string { return "waymark.AskStatus" }

// CallName implements rpc.Named.
func (Status) CallName() string { return "waymark.Status" }
