package bothy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"foxwood/internal/cairn"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

const (
	resolveMost   = 64
	validS        = 2.0
	timetableMost = 24 << 20 // bytes of a configuration
	pollMost      = 900 * time.Millisecond
	pollSilent    = 2000.0 // milliseconds without the list after which that is told
	zonedTries    = 4      // as often others may change the zone in between
	pollAlone     = 60.0   // milliseconds after its start that a bothy waits for others' rosters
)

// answers is what an outside caller hears of each kind of error.
var answers = map[rpc.Kind]struct {
	status int
	again  string // Retry-After, where to come again may help
}{
	rpc.Internal:    {http.StatusInternalServerError, ""},
	rpc.Unavailable: {http.StatusServiceUnavailable, "0.3"},
	rpc.Unknown:     {http.StatusServiceUnavailable, "0.3"},
	rpc.Invalid:     {http.StatusBadRequest, ""},
	rpc.NotFound:    {http.StatusNotFound, ""},
	rpc.Busy:        {http.StatusServiceUnavailable, "0.5"},
	rpc.Stale:       {http.StatusServiceUnavailable, "0.3"},
	rpc.Conflict:    {http.StatusConflict, ""},
}

// doors is what outside callers find at which address.
func (b *Bothy) doors() map[string]*http.ServeMux {
	control, directory := http.NewServeMux(), http.NewServeMux()
	control.HandleFunc("PUT /timetable", b.put)
	control.HandleFunc("GET /timetable", b.get)
	control.HandleFunc("POST /evacuate/{zone}", b.evacuate(cairn.Evacuate))
	control.HandleFunc("DELETE /evacuate/{zone}", b.evacuate(cairn.TakeBack))
	b.shadowDoors(control)
	directory.HandleFunc("GET /resolve", b.resolved)
	doors := map[string]*http.ServeMux{}
	if a := b.set.Gates.ControlDesk; a != "" {
		doors[a] = control
	}
	if a := b.set.Gates.DirectoryDesk; a != "" {
		if doors[a] != nil {
			control.Handle("/resolve", directory)
		} else {
			doors[a] = directory
		}
	}
	return doors
}

// open opens the doors for outside callers.
func (b *Bothy) open() ([]*http.Server, error) {
	var servers []*http.Server
	for addr, mux := range b.doors() {
		ln, err := rpc.Listen(addr)
		if err != nil {
			return nil, fmt.Errorf("door: %w", err)
		}
		s := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 20 * time.Second,
			WriteTimeout: 20 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
		servers = append(servers, s)
		go func() { _ = s.Serve(ln) }()
	}
	return servers, nil
}

// say answers with JSON.
func say(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers with an error, by the table of kinds.
func (b *Bothy) fail(w http.ResponseWriter, err error) {
	a := answers[rpc.KindOf(err)]
	if a.again != "" {
		w.Header().Set("Retry-After", a.again)
	}
	b.mu.Lock()
	switch {
	case a.status == http.StatusConflict:
		b.counts.Conflicts++
	case a.status < 500:
		b.counts.Refused++
	default:
		b.counts.Failed++
	}
	b.mu.Unlock()
	say(w, a.status, map[string]string{"error": err.Error()})
}

// put takes a configuration. It is checked whole before it comes near the chain.
func (b *Bothy) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, timetableMost))
	if err != nil {
		b.fail(w, rpc.Errorf(rpc.Invalid, "the body was not read whole: %v", err))
		return
	}
	t, err := timetable.Parse(body)
	if err != nil {
		b.fail(w, rpc.Errorf(rpc.Invalid, "%v", err))
		return
	}
	if err := b.enter(r.Context(), cairn.Change{Kind: cairn.PutConfiguration, Edition: t.Edition, Body: body}); err != nil {
		if rpc.KindOf(err) == rpc.Conflict {
			b.log.Warn().Str("edition", timetable.FormatEdition(t.Edition)).Msg("another configuration under a committed edition is refused")
		}
		b.fail(w, err)
		return
	}
	b.mu.Lock()
	b.counts.Puts++
	b.mu.Unlock()
	say(w, http.StatusOK, map[string]string{"edition": timetable.FormatEdition(t.Edition)})
}

// enter brings a change into the chain, and is back before its caller's patience ends.
func (b *Bothy) enter(ctx context.Context, c cairn.Change) error {
	ctx, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	_, err := rpc.Call[waymark.Enter, waymark.Entered](ctx, b.cairn, waymark.Enter{Change: c})
	return err
}

// tails is what is committed by the tail's word, and by nothing less: what a machine recalls may be old.
func (b *Bothy) tails(ctx context.Context, have cairn.Stamp) (got waymark.Confirmed, err error) {
	got, err = rpc.Call[waymark.Confirm, waymark.Confirmed](ctx, b.cairn, waymark.Confirm{Have: have})
	if err == nil && got.Recalled {
		err = rpc.Errorf(rpc.Stale, "the tail did not answer")
	}
	return got, err
}

// get gives the newest configuration, by the tail's word.
func (b *Bothy) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), b.patience)
	defer cancel()
	got, err := b.tails(ctx, cairn.Stamp{})
	switch {
	case err != nil:
		b.fail(w, err)
	case got.State == nil || len(got.State.Body) == 0:
		b.fail(w, rpc.Errorf(rpc.NotFound, "there is no configuration yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(got.State.Body)
	}
}

// zoned brings a zone's change into the chain. Such an order has no number, and one that lay here or in a socket while
// this machine stood still or was cut off must not undo what others were told since. It is therefore bound to the tail's word,
// which is asked for first, and dropped if its caller has left by then: what ended his connection lies right behind the
// order. Where the zone has been changed in between, all of that begins anew.
func (b *Bothy) zoned(ctx context.Context, c cairn.Change) (err error) {
	bounded, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	b.mu.Lock()
	have := b.state.Last
	b.mu.Unlock()
	for range zonedTries {
		var got waymark.Confirmed
		if got, err = b.tails(bounded, have); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		_, err = rpc.Call[waymark.Enter, waymark.Entered](bounded, b.cairn, waymark.Enter{Change: c, After: got.Last})
		if rpc.KindOf(err) != rpc.Stale {
			return err
		}
	}
	return err
}

func (b *Bothy) evacuate(kind cairn.ChangeKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		b.mu.Lock()
		_, ok := b.places[zone]
		ok = ok || len(b.places) == 0
		b.mu.Unlock()
		if !ok {
			b.fail(w, rpc.Errorf(rpc.NotFound, "no zone %q", zone))
			return
		}
		if err := b.zoned(r.Context(), cairn.Change{Kind: kind, Zone: zone}); err != nil {
			b.fail(w, err)
			return
		}
		say(w, http.StatusOK, map[string]string{"zone": zone})
	}
}

func (b *Bothy) resolved(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	addrs := b.resolve(q.Get("region"), q.Get("zone"))
	if len(addrs) == 0 {
		b.fail(w, rpc.Errorf(rpc.Unavailable, "no gatekeeper has signed in"))
		return
	}
	say(w, http.StatusOK, map[string]any{"addresses": addrs, "validS": min(validS, b.set.Bounds.TTLMaxS)})
}

// page is one page of the platform's list.
type page struct {
	Roster struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	} `json:"roster"`
	Next *string `json:"nextToken"`
}

var carrier = &http.Client{Timeout: pollMost, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
	DisableCompression: true, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}

// poll asks the platform which workers there are, where that is our duty, and to a part where it is nobody's. A
// list that does not come whole changes nothing.
func (b *Bothy) poll(ctx context.Context) {
	b.mu.Lock()
	began, version := b.now(), b.roster.version
	before, ok := b.election.Holds(began, dutyRoster)
	empty := version == 0 && began > pollAlone
	orphan := !ok && !empty && b.strikes.orphaned(began) && began >= b.strikes.next
	b.mu.Unlock()
	if !ok && !empty && !orphan {
		return
	}
	list, pages, err := b.list(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Polls++
	term, ok := b.election.Holds(b.now(), dutyRoster)
	ok = ok && term == before        // a list that was begun in another term may be older than what that has told
	ok = ok || b.roster.version == 0 // who knows of no worker does not wait for the duty to be won
	switch {
	case err != nil:
		b.counts.PollsFailed++
		if !b.unread && b.now()-b.polled > pollSilent {
			b.unread = true
			b.log.Warn().Err(err).Msg("the platform's list is not read")
		}
	case orphan:
		b.strike(began, version, pages, list)
	case !ok: // lost meanwhile: the new holder's may be newer
	default:
		b.polled = b.now()
		if b.unread {
			b.unread = false
			b.log.Info().Msg("the platform's list is read again")
		}
		if b.roster.poll(b.now(), term, list) {
			b.log.Info().Uint64("version", b.roster.version).Int("workers", len(list)).Msg("workers")
			b.strikes.settle(b.roster)
			b.changed()
			select {
			case b.tellSoon <- struct{}{}:
			default: // it is about to be told already
			}
		}
	}
}

func (b *Bothy) list(ctx context.Context) (list []waymark.Worker, pages int, err error) {
	token := ""
	for n := 0; ; n++ {
		if n > 200 {
			return nil, n, fmt.Errorf("the list does not end")
		}
		at := "http://" + b.set.CarrierAPI.Address + "/roster"
		if token != "" {
			at += "?pageToken=" + url.QueryEscape(token)
		}
		p, err := b.page(ctx, at)
		if err != nil {
			return nil, n, err
		}
		workers, err := p.workers()
		if err != nil {
			return nil, n, err
		}
		list = append(list, workers...)
		if p.Next == nil || *p.Next == "" {
			return list, n + 1, nil
		}
		token = *p.Next
	}
}

func (b *Bothy) page(ctx context.Context, at string) (p page, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return p, err
	}
	res, err := carrier.Do(req)
	if err != nil {
		return p, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
		return p, fmt.Errorf("the platform answered %d", res.StatusCode)
	}
	return p, json.NewDecoder(io.LimitReader(res.Body, timetableMost)).Decode(&p)
}

// workers reads the rows of a page.
func (p *page) workers() ([]waymark.Worker, error) {
	at := map[string]int{}
	for i, c := range p.Roster.Columns {
		at[c] = i
	}
	for _, must := range []string{"id", "destination", "address", "state"} {
		if _, ok := at[must]; !ok {
			return nil, fmt.Errorf("the list has no column %q", must)
		}
	}
	list := make([]waymark.Worker, 0, len(p.Roster.Rows))
	for _, row := range p.Roster.Rows {
		text := func(c string) string {
			i, ok := at[c]
			if !ok || i >= len(row) {
				return ""
			}
			s, _ := row[i].(string)
			return s
		}
		figure := func(c string) float64 {
			i, ok := at[c]
			if !ok || i >= len(row) {
				return 0
			}
			v, _ := row[i].(float64)
			return v
		}
		w := waymark.Worker{ID: text("id"), Destination: text("destination"), Addr: text("address"), Zone: text("zone"),
			Edition: text("edition"), Berths: int(figure("berths")), Closing: strings.TrimSpace(text("state")) != "open_counter",
			Cold: figure("coldS_time") * 1000}
		if w.ID == "" || w.Addr == "" {
			return nil, fmt.Errorf("the list has a worker without id or address")
		}
		list = append(list, w)
	}
	return list, nil
}
