package bothy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/waymark"
)

// timed has a stand go by a clock of the test's.
func timed(s *stand) (now *atomic.Int64) {
	now = &atomic.Int64{}
	now.Store(100)
	s.mu.Lock()
	s.clock = func() float64 { return float64(now.Load()) }
	s.mu.Unlock()
	return now
}

// listing is the platform with a list of one page; during is called in the middle of each answer.
func (s *stand) listing(during func(), rows *string) (asked *atomic.Int64) {
	asked = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		text := `{"roster":{"columns":["id","destination","address","state"],"rows":[` + *rows + `]}}`
		_, _ = io.WriteString(w, text[:9])
		w.(http.Flusher).Flush()
		if during != nil {
			during()
		}
		_, _ = io.WriteString(w, text[9:])
	}))
	s.t.Cleanup(server.Close)
	s.settings.CarrierAPI.Address = strings.TrimPrefix(server.URL, "http://")
	return asked
}

func (s *stand) hail(from string, held ...election.Tenure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.election.Step(s.now(), election.Event{Kind: election.Heard, Message: election.Message{Kind: election.Announce, From: from, Held: held}})
}

// wards steps the election on for so long.
func (s *stand) wards(now *atomic.Int64, ms int64) {
	for end := now.Load() + ms; now.Load() < end; {
		now.Add(min(50, end-now.Load()))
		s.stepElection(s.t.Context())
	}
}

func struckIDs(a waymark.Signed) (out []string) {
	for _, x := range a.Struck {
		out = append(out, x.ID)
	}
	return out
}

const (
	open1    = `["i-1","d","10.0.0.1:80","open_counter"]`
	closing1 = `["i-1","d","10.0.0.1:80","closing"]`
	open2    = `["i-2","d","10.0.0.2:80","open_counter"]`
	open3    = `["i-3","d","10.0.0.3:80","open_counter"]`
)

// TestNobodyHasTheDuty: where no majority can give the duty, a bothy reads the platform's list by itself, at its part of the
// rate, and passes on what takes away and nothing else; a later term goes before it.
func TestNobodyHasTheDuty(t *testing.T) {
	const other = "127.0.0.2:7460"
	s := open(t, "127.0.0.2:80", "127.0.0.3:80")
	now := timed(s)
	s.settings.CarrierAPI.RatePerS = 3
	rows := open1 + "," + open2
	asked := s.listing(nil, &rows)
	s.endpoints.applyPlatformList(s.now(), 1, []waymark.Worker{worker("i-1"), worker("i-2")})
	version := s.endpoints.version
	held := waymark.Sign{Roster: version}

	for range 100 { // another has it
		s.hail(other, election.Tenure{Duty: dutyEndpoints, Term: 1})
		s.wards(now, 100)
		s.pollPlatform(t.Context())
	}
	assert.Equal(t, asked.Load(), int64(0))
	rows = closing1 + "," + open3
	s.wards(now, dutyLeaseMs+vacantAfterMs-100)
	s.pollPlatform(t.Context())
	assert.Equal(t, asked.Load(), int64(0), "it may be won yet")
	s.wards(now, 200)
	s.pollPlatform(t.Context())
	assert.Equal(t, asked.Load(), int64(1))
	a := s.answer(held)
	assert.DeepEqual(t, a.Struck, []waymark.Struck{{ID: "i-1", At: version}})
	assert.Assert(t, a.Marks == nil && a.Parts == nil, "nothing is told as a holder tells it")
	held.Struck = a.StruckNow
	assert.Assert(t, s.answer(held).Struck == nil, "it has that")

	const span = 10_000
	for from := now.Load(); now.Load() < from+span; {
		s.wards(now, 400)
		s.pollPlatform(t.Context())
	}
	// One page for each of three bothies out of half of the rate: every two seconds.
	assert.Assert(t, asked.Load() >= 4 && asked.Load() <= 6, "%d", asked.Load())
	a = s.answer(held)
	assert.DeepEqual(t, struckIDs(a), []string{"i-1", "i-2"}) // what was missing twice has gone
	assert.Equal(t, s.endpoints.version, version)

	// Another bothy's are taken over, and of a worker that is not known here too.
	h, err := s.handleGossip(t.Context(), waymark.Gossip{From: other, Struck: []waymark.Struck{{ID: "i-9", At: version}, {ID: "i-1", At: version - 1}}})
	assert.NilError(t, err)
	assert.Equal(t, h.Roster, version)
	held.Struck = a.StruckNow
	assert.DeepEqual(t, struckIDs(s.answer(held)), []string{"i-1", "i-2", "i-9"})

	// A newer word of the same term takes back what it speaks of; the next term all.
	next := newEndpointList()
	next.merge(0, s.endpoints.since(s.now(), 0))
	next.applyPlatformList(s.now(), 1, []waymark.Worker{worker("i-1", closing), worker("i-2")})
	p := rpc.NewPeer(serve(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, q waymark.AskRoster) (waymark.Roster, error) {
			return *next.since(0, q.Have), nil
		})
	}))
	t.Cleanup(p.Close)
	fetched := func() {
		for s.endpoints.version < next.version {
			s.fetchEndpoints(t.Context(), p, next.version)
		}
	}
	fetched()
	assert.DeepEqual(t, struckIDs(s.answer(waymark.Sign{})), []string{"i-2", "i-9"})
	next.applyPlatformList(s.now(), 2, []waymark.Worker{worker("i-1", closing), worker("i-2")})
	fetched()
	assert.Assert(t, s.answer(waymark.Sign{}).Struck == nil)
	assert.Assert(t, !s.withdrawals.merge(s.endpoints, []waymark.Struck{{ID: "i-2", At: version}}), "one of the last term that comes late")
}

// TestAMissingWorkerCountsAtTheSecondTime: one page of a list may miss one as another goes.
func TestAMissingWorkerCountsAtTheSecondTime(t *testing.T) {
	r := newEndpointList()
	r.applyPlatformList(0, 1, []waymark.Worker{worker("i-1"), worker("i-2")})
	var s withdrawals
	assert.Assert(t, !s.applyPlatformList(r, []waymark.Worker{worker("i-1")}))
	assert.Assert(t, !s.applyPlatformList(r, []waymark.Worker{worker("i-1"), worker("i-2")}))
	assert.Assert(t, !s.applyPlatformList(r, []waymark.Worker{worker("i-1")}))
	s.observeHolder(10, "somebody")
	assert.Assert(t, !s.applyPlatformList(r, []waymark.Worker{worker("i-1")}), "he has seen it meanwhile")
	assert.Assert(t, s.applyPlatformList(r, []waymark.Worker{worker("i-1")}))
	all, mark := s.snapshot()
	assert.DeepEqual(t, all, []waymark.Struck{{ID: "i-2", At: r.version}})
	assert.Assert(t, mark != 0)
	// Versions that gatekeepers had heard of, and this bothy not, are passed over too.
	s = withdrawals{newestVersion: r.version + 3}
	s.applyPlatformList(r, []waymark.Worker{worker("i-1", closing), worker("i-2")})
	all, _ = s.snapshot()
	assert.DeepEqual(t, all, []waymark.Struck{{ID: "i-1", At: r.version + 3}})
}

// TestAReaderThatWakes in the middle of an answer: the list that it then has is old.
func TestAReaderThatWakes(t *testing.T) {
	s := open(t, "127.0.0.2:80", "127.0.0.3:80")
	now := timed(s)
	rows := closing1 + "," + open2
	frozen := int64(0)
	asked := s.listing(func() { now.Add(frozen) }, &rows)
	s.endpoints.applyPlatformList(s.now(), 1, []waymark.Worker{worker("i-1"), worker("i-2")})
	s.wards(now, 2000)
	frozen = 20_000
	s.pollPlatform(t.Context())
	assert.Equal(t, asked.Load(), int64(1))
	assert.Assert(t, s.answer(waymark.Sign{}).Struck == nil)
	s.wards(now, 1000)
	s.pollPlatform(t.Context())
	assert.Equal(t, asked.Load(), int64(1), "somebody may have won the duty meanwhile, and his word lies unread")
	frozen = 0
	s.wards(now, 600)
	s.pollPlatform(t.Context())
	assert.DeepEqual(t, struckIDs(s.answer(waymark.Sign{})), []string{"i-1"})
}

// alone has a stand be its own electorate, and steps until it has the duty in a term above another.
func (s *stand) alone(now *atomic.Int64, above uint64) (term uint64) {
	self := s.settings.Inner(registryPort)
	for end := now.Load() + 20_000; now.Load() < end; {
		s.mu.Lock()
		s.election.Electorate(s.now(), s.now(), []string{self}, 1, 0)
		s.mu.Unlock()
		now.Add(20)
		s.stepElection(s.t.Context())
		s.mu.Lock()
		term, ok := s.election.Holds(s.now(), dutyEndpoints)
		s.mu.Unlock()
		if ok && term > above {
			return term
		}
	}
	s.t.Fatal("the duty is not won")
	return 0
}

// TestAListOfAnotherTerm: it was begun under a term that has ended, and the duty was won again before it had
// come whole. In between another may have told newer things. The term is the fence.
func TestAListOfAnotherTerm(t *testing.T) {
	s := open(t)
	now := timed(s)
	rows := open1
	var during func()
	asked := s.listing(func() {
		if during != nil {
			during()
		}
	}, &rows)
	first := s.alone(now, 0)
	s.pollPlatform(t.Context())
	version := s.endpoints.version
	assert.Equal(t, version>>termShift, first)
	rows = closing1
	during = func() {
		now.Add(20_000)
		assert.Check(t, s.alone(now, first) > first)
	}
	s.pollPlatform(t.Context())
	assert.Equal(t, asked.Load(), int64(2))
	assert.Equal(t, s.endpoints.version, version, "read in one term, and taken for another's")
	during = nil
	s.alone(now, first)
	s.pollPlatform(t.Context())
	assert.Assert(t, s.endpoints.version>>termShift > first)
	assert.Assert(t, s.endpoints.workers["i-1"].Closing)

	during = func() { now.Add(20_000) } // and where it isn't won again
	rows = open1
	version = s.endpoints.version
	s.pollPlatform(t.Context())
	assert.Equal(t, s.endpoints.version, version)
}

// TestWhatACutOffBothySays: without the tail it says 503 and when to come again, to each call at its doors
// that must be current, however the chain fails; never 200, and never 4xx to a proper order.
func TestWhatACutOffBothySays(t *testing.T) {
	for name, fail := range map[string]error{
		"the chain has no majority":  rpc.Errorf(rpc.Unavailable, "the chain takes nothing now"),
		"the tail does not answer":   rpc.Errorf(rpc.Unknown, "the chain did not answer in time"),
		"the store has much to do":   rpc.Errorf(rpc.Busy, "the store has too much to do"),
		"nothing comes":              nil,
		"only the disk's word comes": nil,
	} {
		s := open(t)
		hang := name == "nothing comes"
		if hang {
			s.storeTimeout = time.Millisecond
		}
		s.store.Close()
		ended := make(chan struct{})
		t.Cleanup(func() { close(ended) })
		s.store = rpc.NewPeer(serve(t, func(server *rpc.Server) {
			rpc.Handle(server, func(context.Context, waymark.Enter) (waymark.Entered, error) {
				if hang {
					<-ended
				}
				if fail == nil { // an order may be under way; its word is not known
					return waymark.Entered{}, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
				}
				return waymark.Entered{}, fail
			})
			rpc.Handle(server, func(context.Context, waymark.Confirm) (waymark.Confirmed, error) {
				if hang {
					<-ended
				}
				old := state(5, 12, "a1")
				old.Orders = map[string]cairn.Order{OrderShadow: {No: 3, Body: []byte(copies(3, "10.0.0.9:80"))}}
				return waymark.Confirmed{Recalled: true, State: old}, fail
			})
		}))
		t.Cleanup(s.store.Close)
		for _, c := range []struct{ method, path, body string }{
			{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}, {"DELETE", "/evacuate/a1", ""},
			{"PUT", "/shadow", copies(3, "10.0.0.9:80")}, {"PUT", "/shadow", copies(4, "10.0.0.9:80")}, {"GET", "/shadow", ""}, {"DELETE", "/shadow", ""},
		} {
			w := s.ask("control", c.method, c.path, strings.NewReader(c.body))
			assert.Equal(t, w.Code, 503, "%s: %s %s: %s", name, c.method, c.path, w.Body)
			assert.Assert(t, w.Header().Get("Retry-After") != "", "%s: %s %s", name, c.method, c.path)
		}
	}
}

// TestABothyThatWakes after 20 s knows nothing as current: no member, no duty, no tail.
func TestABothyThatWakes(t *testing.T) {
	s := open(t)
	now := timed(s)
	s.Shed(snowline.Options{})
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 1}, State: state(1, 12)}, nil)
	s.alone(now, 0)
	s.sessions.Sign(s.now(), membership.Member{Station: "p", Zone: "a1", Region: "a", Life: 1, Turn: 1, Counter: "10.0.0.1:80", Ready: true})
	const path = "/resolve?name=x.example&region=a&zone=a1"
	assert.Equal(t, s.ask("directory", "GET", path, nil).Code, 200)
	assert.Assert(t, s.answer(waymark.Sign{}).AsOf > -20_000)
	s.mu.Lock()
	s.sessions.Leave(s.now(), "p", 1)
	s.mu.Unlock()
	s.sessions.Sign(s.now(), membership.Member{Station: "q", Zone: "a1", Region: "a", Life: 2, Turn: 1, Counter: "10.0.0.2:80", Ready: true})
	now.Add(20_000)
	w := s.ask("directory", "GET", path, nil)
	assert.Equal(t, w.Code, 503, w.Body)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	for name, call := range map[string]func() error{
		"draw": func() error {
			_, err := s.handleQuotaRequest(t.Context(), waymark.Draw{Station: "p", Life: 1, Turn: 1})
			return err
		},
		"level": func() error { _, err := s.handleFixLevel(t.Context(), waymark.FixLevel{Cut: 1, ForMs: 5}); return err },
		"strain": func() error {
			_, err := s.handleLoadReport(t.Context(), waymark.Strain{})
			return err
		},
	} {
		assert.Equal(t, rpc.KindOf(call()), rpc.Unavailable, name)
	}
	a := s.answer(waymark.Sign{})
	assert.Assert(t, a.Stale)
	assert.Assert(t, a.AsOf <= -20_000, "%v", a.AsOf)
}

// TestAnOrderWhoseCallerHasLeft: it lay in a socket behind a cut or a freeze, and the end of its connection right behind it.
// An order without a number is dropped then; one that is entered is bound to the tail's word.
func TestAnOrderWhoseCallerHasLeft(t *testing.T) {
	for _, c := range []struct{ method, path string }{{"POST", "/evacuate/a1"}, {"DELETE", "/evacuate/a1"}, {"DELETE", "/shadow"}} {
		for _, left := range []bool{true, false} {
			s := open(t)
			held := cairn.Order{No: 7, Body: []byte(copies(7, "10.0.0.9:80"))}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) {
				if left {
					leave()
				}
				return waymark.Confirmed{Last: cairn.Stamp{Seq: 9, View: 3}, State: &cairn.State{Orders: map[string]cairn.Order{OrderShadow: held}}}, nil
			}
			w := httptest.NewRecorder()
			s.handlers()["control"].ServeHTTP(w, httptest.NewRequestWithContext(ctx, c.method, c.path, nil))
			assert.Equal(t, len(s.entered) > 0, !left, "%s %s", c.method, c.path)
			if left {
				assert.Equal(t, w.Code, 503, "%s %s", c.method, c.path)
			}
		}
	}
}

// TestAZoneThatWasChangedMeanwhile: the order is brought in again, after what was done since.
func TestAZoneThatWasChangedMeanwhile(t *testing.T) {
	s := open(t)
	var afters []cairn.Stamp
	s.store.Close()
	s.store = rpc.NewPeer(serve(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, q waymark.Enter) (waymark.Entered, error) {
			if afters = append(afters, q.After); len(afters) == 1 {
				return waymark.Entered{}, rpc.Errorf(rpc.Stale, "the zone was changed meanwhile")
			}
			return waymark.Entered{}, nil
		})
		rpc.Handle(server, func(context.Context, waymark.Confirm) (waymark.Confirmed, error) {
			return waymark.Confirmed{Last: cairn.Stamp{Seq: 5 + uint64(len(afters)), View: 1}}, nil
		})
	}))
	t.Cleanup(s.store.Close)
	assert.Equal(t, s.ask("control", "POST", "/evacuate/a1", nil).Code, 200)
	assert.DeepEqual(t, afters, []cairn.Stamp{{Seq: 5, View: 1}, {Seq: 6, View: 1}})
}

// TestTheEndOfAConnectionIsSeen: a request and the end of its connection lie in the socket together, as after a freeze.
// The end is seen while the tail is asked.
func TestTheEndOfAConnectionIsSeen(t *testing.T) {
	s := open(t)
	began := make(chan context.Context, 1)
	control := s.handlers()["control"]
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		began <- r.Context()
		control.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) {
		<-(<-began).Done()
		return waymark.Confirmed{Last: cairn.Stamp{Seq: 1}}, nil
	}
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /evacuate/a1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	<-done
	assert.Equal(t, len(s.entered), 0)
}

// TestAZoneThatIsNewInTheSettings may be emptied without a restart.
func TestAZoneThatIsNewInTheSettings(t *testing.T) {
	s := open(t)
	assert.Equal(t, s.ask("control", "POST", "/evacuate/c1", nil).Code, 404)
	set := *s.settings
	set.Zones = map[string]string{"a1": "a", "c1": "c"}
	s.Reload(&set)
	assert.Equal(t, s.ask("control", "POST", "/evacuate/c1", nil).Code, 200)
	assert.Equal(t, s.ask("control", "POST", "/evacuate/b%201", nil).Code, 404)
}

// TestALevelNeedsTheTail: an operator's order for it is neither taken nor passed on without, nor when its caller has left.
func TestALevelNeedsTheTail(t *testing.T) {
	s := open(t)
	now := timed(s)
	s.Shed(snowline.Options{})
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 1}, State: state(1, 12)}, nil)
	s.mu.Lock()
	s.election = election.New(s.settings.Inner(registryPort), 1, s.now(), dutyLeaseMs, true, dutyEndpoints, DutyLevel)
	s.mu.Unlock()
	fix := func(ctx context.Context) error {
		s.alone(now, 0)
		for held := false; !held; {
			now.Add(20)
			s.stepElection(t.Context())
			_, held = s.election.Holds(s.now(), DutyLevel)
		}
		_, err := s.handleFixLevel(ctx, waymark.FixLevel{Cut: 5, ForMs: 1000})
		return err
	}
	assert.NilError(t, fix(t.Context()))
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) {
		leave()
		return waymark.Confirmed{Last: cairn.Stamp{Seq: 1}}, nil
	}
	assert.Assert(t, fix(ctx) != nil)
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) { return waymark.Confirmed{Recalled: true}, nil }
	assert.Equal(t, rpc.KindOf(fix(t.Context())), rpc.Stale)
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) {
		return waymark.Confirmed{}, rpc.Errorf(rpc.Unavailable, "no tail")
	}
	assert.Equal(t, rpc.KindOf(fix(t.Context())), rpc.Unavailable)
}
