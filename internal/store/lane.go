package store

import (
	"context"
	"sync"
	"time"

	"foxwood/internal/cairn"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// laneMost is until a call of a courier counts as failed: a chunk on a thin line, behind others.
const laneMost = 3 * time.Second

// lane carries out what a courier wants, on a connection that no beat waits behind.
type lane struct {
	peer *rpc.Peer
	wake chan struct{}

	mu      sync.Mutex
	running bool
	courier
}

// bulk has a message go to a machine in parts.
func (s *Store) bulk(m *cairn.Message) bool {
	s.mu.Lock()
	l := s.lanes[m.To.Addr]
	if l == nil {
		l = &lane{peer: rpc.NewPeer(m.To.Addr), wake: make(chan struct{}, 1)}
		s.lanes[m.To.Addr] = l
	}
	s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.put(s.now(), *m)
	if !l.running {
		l.running = true
		go s.bring(l)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return ok
}

// hush forgets what has not been brought yet.
func (s *Store) hush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lanes {
		l.mu.Lock()
		l.queue, l.want = nil, nil
		l.mu.Unlock()
	}
}

// bring makes a courier's calls until nothing waits.
func (s *Store) bring(l *lane) {
	var packs packs
	for {
		l.mu.Lock()
		m, no := l.unmade()
		l.mu.Unlock()
		if no > 0 {
			made, blobs := packs.parcel(m)
			l.mu.Lock()
			l.packed(no, made, blobs)
			l.mu.Unlock()
		}
		l.mu.Lock()
		call, wait := l.next(s.now())
		if call == nil && wait < 0 {
			l.running = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		switch call := call.(type) {
		case nil:
			select {
			case <-l.wake:
			case <-time.After(time.Duration(wait * 1e6)):
			}
		case *waymark.Parcel:
			w, err := ask[waymark.Parcel, waymark.Wanted](l, call)
			l.mu.Lock()
			switch k := rpc.KindOf(err); {
			case err == nil:
				l.wanted(s.now(), call, w)
			case k == rpc.NotFound: // of an earlier version
				if len(l.queue) > 0 && l.queue[0].made == call {
					_ = rpc.Tell(l.peer, l.queue[0].m)
				}
				l.drop(s.now(), call)
			case k == rpc.Invalid:
				l.drop(s.now(), call)
			default:
				l.failed(s.now())
			}
			l.mu.Unlock()
		case *waymark.Chunk:
			t, err := ask[waymark.Chunk, waymark.Taken](l, call)
			l.mu.Lock()
			if err == nil {
				l.taken(s.now(), call, t)
			} else {
				l.failed(s.now())
			}
			l.mu.Unlock()
		}
	}
}

func ask[Q, A any](l *lane, q *Q) (A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), laneMost)
	defer cancel()
	return rpc.Call[Q, A](ctx, l.peer, *q)
}

// parcel and chunk are calls of another machine's courier.
func (s *Store) parcel(ctx context.Context, p waymark.Parcel) (waymark.Wanted, error) {
	s.deskMu.Lock()
	s.desk.state = s.holds.Load()
	m, w, err := s.desk.parcel(s.now(), p)
	s.deskMu.Unlock()
	if err != nil || len(w.Sum) > 0 {
		return w, err
	}
	_, err = s.message(ctx, m)
	return w, err
}

func (s *Store) chunk(_ context.Context, c waymark.Chunk) (waymark.Taken, error) {
	s.deskMu.Lock()
	defer s.deskMu.Unlock()
	s.desk.state = s.holds.Load()
	return s.desk.chunk(s.now(), c)
}
