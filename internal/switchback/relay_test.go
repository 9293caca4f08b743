package switchback

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configcache"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// valley is gatekeepers of one zone and a bothy, over loopback. Nothing runs by itself: the test
// says who signs and who lends.
type valley struct {
	t    *testing.T
	dock int

	mu    sync.Mutex
	say   map[string]waymark.Signed // what the bothy answers, by station
	heard map[string][]waymark.Sign
	bothy *rpc.Server
}

const theBothy = "127.0.0.9"

func body(edition int) []byte {
	return waymark.Deflate(fmt.Appendf(nil, `{"edition":"%08x","courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","destination"],`+
		`"rows":[["r","h.example","/","safe",2,0.3,1,"d"]]},"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["d","/health",110]]},`+
		`"sizeLimits":{"envelopeBytes":16384,"bodyBytes":67108864,"envelopeS":3,"idleS":15}}`, edition))
}

func newValley(t *testing.T) *valley {
	v := &valley{t: t, say: map[string]waymark.Signed{}, heard: map[string][]waymark.Sign{}}
	ln, err := rpc.Listen(theBothy + ":0")
	assert.NilError(t, err)
	v.dock = ln.Addr().(*net.TCPAddr).Port
	v.bothy = rpc.NewServer()
	rpc.Handle(v.bothy, func(_ context.Context, q waymark.Sign) (waymark.Signed, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.heard[q.Member.Station] = append(v.heard[q.Member.Station], q)
		return v.say[q.Member.Station], nil
	})
	go func() { _ = v.bothy.Serve(ln) }()
	t.Cleanup(v.bothy.Close)
	return v
}

func (v *valley) at(n int) string { return fmt.Sprintf("127.0.0.%d:%d", 10+n, v.dock) }

// start starts the n-th gatekeeper, with nothing.
func (v *valley) start(n int, final bool) (*Proxy, *rpc.Server) {
	v.t.Helper()
	set := &bootconfig.Settings{Station: fmt.Sprint("g", n), Zone: "z", Region: "r", IP: fmt.Sprint("127.0.0.", 10+n),
		InnerDocks: []int{v.dock, v.dock + 1}, FirstStations: []string{theBothy + ":1"},
		SizeLimits: bootconfig.SizeLimits{Handles: 1000}}
	set.Bounds.RevocationFinal, set.Bounds.RevokeS = final, 5
	p, err := New(set, zerolog.Nop())
	assert.NilError(v.t, err)
	ln, err := rpc.Listen(set.Inner(0))
	assert.NilError(v.t, err)
	s := rpc.NewServer()
	rpc.Handle(s, p.subscribed)
	rpc.Handle(s, p.lent)
	go func() { _ = s.Serve(ln) }()
	v.t.Cleanup(s.Close)
	return p, s
}

// sign has a gatekeeper sign, and gives its question.
func (v *valley) sign(p *Proxy, a waymark.Signed) waymark.Sign {
	v.t.Helper()
	v.mu.Lock()
	v.say[p.set.Station] = a
	v.mu.Unlock()
	p.sign(v.t.Context())
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.heard[p.set.Station]
	assert.Assert(v.t, len(all) > 0, "the bothy was not reached")
	return all[len(all)-1]
}

// holds tells what the loop has in force.
func holds(p *Proxy) (edition uint64, workers []string, ready, keys bool, members int) {
	p.on(func() {
		if p.table != nil {
			edition = p.table.Edition
		}
		for _, w := range p.workers {
			workers = append(workers, w.Destination+"/"+w.ID)
		}
		ready, keys, members = p.ready(), p.keysHold(), p.members
	})
	return
}

func roster(version, since uint64, workers ...string) (*waymark.Marks, []waymark.Part) {
	p := waymark.Part{Destination: "d", Version: version, Since: since}
	for _, w := range workers {
		p.Workers = append(p.Workers, waymark.Worker{ID: w, Addr: "127.0.0.1:9", Zone: "z"})
	}
	return &waymark.Marks{Version: version, Whole: since == 0, Behind: map[string]uint64{"d": 0}}, []waymark.Part{p}
}

// both has two gatekeepers hold edition 1 and a worker, and know each other; it gives first the
// home of the workers, then the other one.
func (v *valley) both(final bool) (home, other *Proxy, homeInner *rpc.Server) {
	a, sa := v.start(0, final)
	b, sb := v.start(1, final)
	m, parts := roster(1, 0, "w1")
	v.sign(a, waymark.Signed{Edition: 1, Body: body(1), Marks: m, Parts: parts, Settled: true,
		Crowd: &waymark.Crowd{Mark: 1, Place: 0, Count: 2, Peers: []string{v.at(1)}, Near: []int{1}}})
	v.sign(b, waymark.Signed{Edition: 1, Body: body(1), Marks: m, Parts: parts, Settled: true,
		Crowd: &waymark.Crowd{Mark: 2, Place: 1, Count: 2, Peers: []string{v.at(0)}, Near: []int{0}}})
	if membership.HomeAmong([]string{v.at(0), v.at(1)}, "z", "d") == v.at(0) {
		return a, b, sa
	}
	return b, a, sb
}

// TestNewsComeFromTheHome: who is not sent a destination's workers gets them from the home, with
// one call, and the bothy is not asked for them.
func TestNewsComeFromTheHome(t *testing.T) {
	v := newValley(t)
	home, other, _ := v.both(true)
	m, parts := roster(2, 1, "w2")
	v.sign(home, waymark.Signed{Edition: 1, Marks: m, Parts: parts})
	v.sign(other, waymark.Signed{Edition: 1, Marks: m})
	_, workers, ready, keys, _ := holds(other)
	assert.Equal(t, len(workers), 2)
	assert.Assert(t, ready && keys)
	q := v.sign(other, waymark.Signed{Edition: 1})
	assert.Assert(t, q.Want == nil)
	assert.Equal(t, q.Roster, uint64(2))
}

// TestTheBothyGivesWhatTheHomeDoesNot: the home has died, or has lost the core and holds less.
func TestTheBothyGivesWhatTheHomeDoesNot(t *testing.T) {
	for name, spoil := range map[string]func(*Proxy, *rpc.Server){
		"dead": func(_ *Proxy, s *rpc.Server) { s.Close() },
		"cut from the core": func(p *Proxy, _ *rpc.Server) {
			p.relay.start = p.relay.start.Add(-time.Second)
			p.relay.signed(1, false)
		},
		"behind": func(*Proxy, *rpc.Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			v := newValley(t)
			home, other, inner := v.both(false)
			spoil(home, inner)
			m, parts := roster(2, 1, "w2")
			v.sign(other, waymark.Signed{Edition: 1, Marks: m})
			q := v.sign(other, waymark.Signed{Edition: 1, Parts: parts})
			assert.DeepEqual(t, q.Want, map[string]uint64{"d": 1})
			_, workers, _, _, _ := holds(other)
			assert.Equal(t, len(workers), 2)
			assert.Assert(t, v.sign(other, waymark.Signed{Edition: 1}).Want == nil)
		})
	}
}

// TestASubscriberWaitsForNews: the home answers once it holds what is asked for.
func TestASubscriberWaitsForNews(t *testing.T) {
	v := newValley(t)
	home, _, _ := v.both(false)
	got := make(chan waymark.Subscribed)
	go func() {
		a, _ := home.subscribed(t.Context(), waymark.Subscribe{Edition: 2, Wait: subscribers})
		got <- a
	}()
	home.hold(body(2))
	assert.DeepEqual(t, (<-got).Body, body(2))
}

// TestARestartWithinACoreLoss: one that starts while the core is down serves with what a neighbour
// lends it, in the place of its last life. Where revocations are final it honours no key.
func TestARestartWithinACoreLoss(t *testing.T) {
	for _, final := range []bool{false, true} {
		t.Run(fmt.Sprint("final ", final), func(t *testing.T) {
			v := newValley(t)
			home, other, inner := v.both(final)
			v.bothy.Close()
			inner.Close() // the home's process dies, and starts again with nothing
			n := 0
			if home.set.Station == "g1" {
				n = 1
			}
			again, _ := v.start(n, final)
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			again.sign(ended)
			other.sign(ended)
			other.lendRound(t.Context())
			_, workers, _, _, _ := holds(again)
			assert.Equal(t, len(workers), 0, "the core may be back at once")

			other.relay.start = other.relay.start.Add(-lostAfter * time.Millisecond)
			other.lendRound(t.Context())
			edition, workers, ready, keys, members := holds(again)
			assert.Equal(t, edition, uint64(1))
			assert.DeepEqual(t, workers, []string{"d/w1"})
			assert.Equal(t, ready, !final)
			assert.Equal(t, keys, !final)
			assert.Equal(t, members, 2)
			again.on(func() {
				assert.Check(t, !again.signed, "it is no session")
				assert.Check(t, again.place == n)
				assert.Check(t, again.question().Roster == 1, "the next bothy learns which terms there were")
			})
		})
	}
}

// TestOneLenderAtATime guards against a zone's members all sending a large body to the same one.
func TestOneLenderAtATime(t *testing.T) {
	v := newValley(t)
	p, _ := v.start(0, false)
	offer := waymark.Lend{Edition: 3}
	h, err := p.lent(t.Context(), offer)
	assert.NilError(t, err)
	assert.Assert(t, !h.Later)
	h, _ = p.lent(t.Context(), offer)
	assert.Assert(t, h.Later)
	offer.Given, offer.Body = true, body(3)
	h, _ = p.lent(t.Context(), offer)
	assert.Equal(t, h.Edition, uint64(3))
	h, _ = p.lent(t.Context(), waymark.Lend{Edition: 3})
	assert.Assert(t, !h.Later, "nothing is lacking")
	assert.Assert(t, configcache.New().Exceeds(&offer))
}
