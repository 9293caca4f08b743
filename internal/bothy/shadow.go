package bothy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"foxwood/internal/cairn"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/spur"
	"foxwood/internal/waymark"
)

const (
	// OrderShadow is the name under which the chain keeps the order for copies.
	OrderShadow = "shadow"

	shadowMost = 256 << 10 // bytes of an order
	stopTries  = 4         // as often another order may come in between
	pageAge    = 500.0     // milliseconds that another bothy's page may have been under way
)

// shadowDoors sets what an operator finds of the order for copies.
func (b *Bothy) shadowDoors(control *http.ServeMux) {
	control.HandleFunc("PUT /shadow", b.putShadow)
	control.HandleFunc("GET /shadow", b.getShadow)
	control.HandleFunc("DELETE /shadow", b.stopShadow)
}

// putShadow takes an order. It is checked whole before it comes near the chain, and acknowledged
// only where the tail then holds it or has held it: of two orders with one number only one can be in force,
// and one that comes again after its answer was lost may have been overtaken.
func (b *Bothy) putShadow(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, shadowMost))
	if err != nil {
		b.fail(w, rpc.Errorf(rpc.Invalid, "the body was not read whole: %v", err))
		return
	}
	o, faults := spur.ReadOrder(body)
	if o != nil && len(faults) == 0 {
		b.mu.Lock()
		faults = o.Strikes(b.takenAddresses())
		b.mu.Unlock()
	}
	if len(faults) > 0 {
		b.fail(w, rpc.Errorf(rpc.Invalid, "%s", faultText(faults)))
		return
	}
	state, err := b.heldState(r.Context())
	held := state.Orders[OrderShadow]
	took := err == nil && state.Took(OrderShadow, o.Number, body)
	if err == nil && !took && held.No < o.Number {
		state, err = b.enterShadow(r.Context(), o.Number, body)
		held = state.Orders[OrderShadow]
		took = err == nil && state.Took(OrderShadow, o.Number, body)
	}
	switch {
	case err != nil:
		b.fail(w, err)
	case !took:
		b.fail(w, rpc.Errorf(rpc.Invalid, "%v", o.After(&spur.Order{Number: max(held.No, o.Number)})))
	default:
		b.log.Info().Uint64("number", o.Number).Msg("an operator's order for copies")
		say(w, http.StatusOK, map[string]string{"number": strconv.FormatUint(o.Number, 10)})
	}
}

func faultText(faults []spur.Fault) string {
	var text []string
	for i := range faults {
		text = append(text, faults[i].Error())
	}
	return strings.Join(text, "; ")
}

// enterShadow brings an order into the chain, and tells what the tail holds then.
func (b *Bothy) enterShadow(ctx context.Context, number uint64, body []byte) (cairn.State, error) {
	if err := b.enter(ctx, cairn.Change{Kind: cairn.SetOrder, Name: OrderShadow, No: number, Body: body}); err != nil {
		return cairn.State{}, err
	}
	return b.heldState(ctx)
}

// heldState is what is committed, by the tail's word.
func (b *Bothy) heldState(ctx context.Context) (s cairn.State, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	got, err := b.tails(ctx, cairn.Stamp{})
	if err == nil && got.State != nil {
		s = *got.State
	}
	return s, err
}

// heldShadow is the order in force, by the tail's word.
func (b *Bothy) heldShadow(ctx context.Context) (cairn.Order, error) {
	s, err := b.heldState(ctx)
	return s.Orders[OrderShadow], err
}

func (b *Bothy) getShadow(w http.ResponseWriter, r *http.Request) {
	o, err := b.heldShadow(r.Context())
	switch {
	case err != nil:
		b.fail(w, err)
	case o.No == 0:
		b.fail(w, rpc.Errorf(rpc.NotFound, "there is no order for copies yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(o.Body)
	}
}

// stopShadow puts a stop above the order in force.
func (b *Bothy) stopShadow(w http.ResponseWriter, r *http.Request) {
	for n := 0; ; n++ {
		held, err := b.heldShadow(r.Context())
		if err == nil && r.Context().Err() != nil { // it may have lain here, and would stop what came since
			err = rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		if err != nil {
			b.fail(w, err)
			return
		}
		if o, _ := spur.ReadOrder(held.Body); held.No == 0 || o != nil && o.Stopped {
			say(w, http.StatusOK, map[string]string{"number": strconv.FormatUint(held.No, 10)})
			return
		}
		if n == stopTries {
			b.fail(w, rpc.Errorf(rpc.Unavailable, "others' orders came in between"))
			return
		}
		no := held.No + 1
		_, err = b.enterShadow(r.Context(), no, fmt.Appendf(nil, `{"number":%d,"stopped":true}`, no))
		if err != nil && rpc.KindOf(err) != rpc.Conflict { // then another order has the number
			b.fail(w, err)
			return
		}
	}
}

// takenAddresses is where live workers, members, gates and control gatekeepers are: no copy may go there. The
// lock is held.
func (b *Bothy) takenAddresses() map[string]bool {
	taken := map[string]bool{b.set.CarrierAPI.Address: true}
	for _, l := range b.roster.listed {
		taken[l.Addr] = true
	}
	roll := b.book.Members(b.now())
	for i := range roll.Members {
		taken[roll.Members[i].Counter], taken[roll.Members[i].Inner] = true, true
	}
	for _, a := range []string{b.set.Gates.ControlDesk, b.set.Gates.DirectoryDesk} {
		taken[a] = true
	}
	for _, a := range append(slices.Clone(b.core), append(b.seeds, b.set.Inner(bothyDock))...) {
		host, _, err := net.SplitHostPort(a)
		if taken[a] = true; err == nil {
			taken[b.set.At(host, cairnDock)] = true
		}
	}
	delete(taken, "")
	return taken
}

// shadowNews puts a newer order for copies into an answer, and all seats for who copies. The lock
// is held.
func (b *Bothy) shadowNews(now, came float64, roll membership.Roll, q *waymark.Sign, a *waymark.Signed) (some bool) {
	if o := b.state.Orders[OrderShadow]; o.No > q.Shadow {
		a.Shadow, a.Order, some = o.No, o.Body, true
	}
	asOf, known := b.book.AsOf(now, b.core)
	if !q.Copies || !a.Settled || !known {
		return some
	}
	a.SeatsAt = asOf - pageAge - came
	var seats []spur.Seat
	var text strings.Builder
	for i := range roll.Members {
		if g := &roll.Members[i]; g.Counter != "" && !g.Leaving { // who leaves hands over what it has gathered
			seats = append(seats, spur.Seat{Station: g.Station, Life: g.Life, Region: g.Region, Inner: g.Inner})
			_, _ = fmt.Fprintf(&text, "%q %d %q %q\n", g.Station, g.Life, g.Region, g.Inner)
		}
	}
	if len(seats) == 0 {
		return some
	}
	if a.SeatsNow = xxh3.HashString(text.String()) | 1; a.SeatsNow != q.Seats {
		a.Seats, some = seats, true
	}
	return some
}

// shadowTaken says once what a newer state changes. The lock is held.
func (b *Bothy) shadowTaken(was cairn.Order) {
	if o := b.state.Orders[OrderShadow]; o.No != was.No {
		order, _ := spur.ReadOrder(o.Body)
		b.log.Info().Uint64("number", o.No).Bool("stopped", order == nil || order.Stopped).Msg("order for copies")
	}
}
