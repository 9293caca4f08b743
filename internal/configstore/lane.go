package configstore

import (
	"context"
	"sync"
	"time"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// laneCallTimeout is the time limit of a call, which may wait behind other data on a slow link.
const laneCallTimeout = 3 * time.Second

// lane makes the calls of one sender, on a connection that heartbeats do not share.
type lane struct {
	peer *rpc.Peer
	wake chan struct{}

	mu      sync.Mutex
	running bool
	sender
}

// sendBulk queues a message to be transferred in chunks and reports whether there was room for it.
func (s *Store) sendBulk(m *chain.Message) bool {
	s.mu.Lock()
	sendLane := s.lanes[m.To.Addr]
	if sendLane == nil {
		sendLane = &lane{peer: rpc.NewPeer(m.To.Addr), wake: make(chan struct{}, 1)}
		s.lanes[m.To.Addr] = sendLane
	}
	s.mu.Unlock()
	sendLane.mu.Lock()
	defer sendLane.mu.Unlock()
	queued := sendLane.enqueue(s.now(), *m)
	if !sendLane.running {
		sendLane.running = true
		go s.runLane(sendLane)
	}
	select {
	case sendLane.wake <- struct{}{}:
	default:
	}
	return queued
}

// dropBulk drops all messages that are not transferred yet.
func (s *Store) dropBulk() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lane := range s.lanes {
		lane.mu.Lock()
		lane.queue, lane.wanted = nil, nil
		lane.mu.Unlock()
	}
}

// runLane makes a sender's calls until its queue is empty.
func (s *Store) runLane(lane *lane) {
	var cache packCache
	for {
		lane.mu.Lock()
		message, number := lane.needsPacking()
		lane.mu.Unlock()
		if number > 0 {
			parcel, blobs := cache.makeParcel(message)
			lane.mu.Lock()
			lane.setPacked(number, parcel, blobs)
			lane.mu.Unlock()
		}
		lane.mu.Lock()
		call, wait := lane.nextCall(s.now())
		if call == nil && wait < 0 {
			lane.running = false
			lane.mu.Unlock()
			return
		}
		lane.mu.Unlock()
		switch call := call.(type) {
		case nil:
			select {
			case <-lane.wake:
			case <-time.After(time.Duration(wait * 1e6)):
			}
		case *api.BulkMessage:
			answer, err := callLane[api.BulkMessage, api.MissingBody](lane, call)
			lane.mu.Lock()
			switch kind := rpc.KindOf(err); {
			case err == nil:
				lane.handleWanted(s.now(), call, answer)
			case kind == rpc.NotFound: // the receiver is an earlier release without chunked transfer
				if len(lane.queue) > 0 && lane.queue[0].parcel == call {
					_ = rpc.Notify(lane.peer, lane.queue[0].message)
				}
				lane.abandon(s.now(), call)
			case kind == rpc.Invalid:
				lane.abandon(s.now(), call)
			default:
				lane.handleFailure(s.now())
			}
			lane.mu.Unlock()
		case *api.BodyChunk:
			answer, err := callLane[api.BodyChunk, api.BodyChunkAck](lane, call)
			lane.mu.Lock()
			if err == nil {
				lane.handleTaken(s.now(), call, answer)
			} else {
				lane.handleFailure(s.now())
			}
			lane.mu.Unlock()
		}
	}
}

// callLane makes a call with a time limit.
func callLane[Q, A any](lane *lane, request *Q) (A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), laneCallTimeout)
	defer cancel()
	return rpc.Call[Q, A](ctx, lane.peer, *request)
}

// handleParcel handles a call of another machine's sender that starts or completes a message.
func (s *Store) handleParcel(ctx context.Context, parcel api.BulkMessage) (api.MissingBody, error) {
	s.receiverMu.Lock()
	s.receiver.state = s.committedState.Load()
	message, wanted, err := s.receiver.receiveParcel(s.now(), parcel)
	s.receiverMu.Unlock()
	if err != nil || len(wanted.SHA256) > 0 {
		return wanted, err
	}
	_, err = s.handleMessage(ctx, message)
	return wanted, err
}

// handleChunk handles a call of another machine's sender that carries a part of a body.
func (s *Store) handleChunk(_ context.Context, chunk api.BodyChunk) (api.BodyChunkAck, error) {
	s.receiverMu.Lock()
	defer s.receiverMu.Unlock()
	s.receiver.state = s.committedState.Load()
	return s.receiver.receiveChunk(s.now(), chunk)
}
