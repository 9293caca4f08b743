package capture

import (
	"testing"

	"foxwood/internal/testing/encoding"
	"foxwood/policy"
)

// collectingSink is a blockSink that collects all records of an encoder.
type collectingSink struct{ raw []byte }

func (k *collectingSink) submit(b pendingBlock) []byte     { k.raw = append(k.raw, b.raw...); return nil }
func (k *collectingSink) checkpointDue(policy.Micros) bool { return true }
func (k *collectingSink) submitCheckpoint(b pendingBlock)  { k.raw = append(k.raw, b.raw...) }

// TestRecordsKeepTheirEncoding compares a record of each kind with the golden file, so that
// the stored format does not change by accident.
func TestRecordsKeepTheirEncoding(t *testing.T) {
	var to collectingSink
	e := newEncoder(&to, &Key{})
	state := encoding.Filled[policy.Snapshot]()
	e.Started(11, encoding.Filled[policy.Settings](), 12)
	e.RequestReceived(13, encoding.Filled[policy.Request]())
	e.RequestNamed(14, "name")
	e.ClientGone(15, 16)
	e.ExecutionEnded(17, encoding.Filled[policy.Outcome]())
	e.CounterCallEnded(18, 19, 20, encoding.Filled[policy.Status](), 21.5)
	e.WorkersUpdated(22, encoding.Filled[policy.ListKind](), encoding.Filled[[]policy.Entry]())
	e.ClassesReplaced(23, encoding.Filled[[]policy.Class]())
	e.BodyReceived(24, 25)
	e.WorkerProgressed(26, encoding.Filled[policy.Server]())
	e.PeerJoined(27, 28)
	e.PeerDrew(29, encoding.Filled[policy.PeerDraw]())
	e.TimerExpired(30, 31)
	e.StateRecovered(32, state, true)
	e.Send(33, encoding.Filled[policy.Server](), 34)
	e.Refuse(35, 36)
	e.Fail(37)
	e.Cancel(38, 39)
	e.Timer(40, 41)
	e.Count(42, 43.5, 44)
	e.OfferCheckpoint(45, func() policy.Snapshot { return state })
	e.flush()
	encoding.CheckBytes(t, "records", to.raw)
}
