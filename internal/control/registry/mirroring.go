package registry

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

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/membership"
	"foxwood/internal/dataplane/mirror"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

const (
	// OrderMirroring is the name under which the configuration store keeps the traffic-mirroring
	// order.
	OrderMirroring = "shadow"

	maxMirrorOrderBytes = 256 << 10 // size of an order
	maxStopAttempts     = 4         // attempts to stop mirroring while others submit new orders
	maxReportAgeMs      = 500.0     // milliseconds that another registry's report may have been under way
)

// addMirrorRoutes registers the operator's routes for the traffic-mirroring order.
func (b *Registry) addMirrorRoutes(control *http.ServeMux) {
	control.HandleFunc("PUT /shadow", b.putMirrorOrder)
	control.HandleFunc("GET /shadow", b.getMirrorOrder)
	control.HandleFunc("DELETE /shadow", b.stopMirroring)
}

// putMirrorOrder handles a new order. It is fully validated before it is submitted, and
// acknowledged only if the tail then holds it or has held it: of two orders with one number only
// one can be in force, and an order that is repeated because its answer was lost may have been
// replaced since.
func (b *Registry) putMirrorOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMirrorOrderBytes))
	if err != nil {
		b.writeError(w, rpc.Errorf(rpc.Invalid, "the body was not read whole: %v", err))
		return
	}
	order, faults := mirror.ParseRule(body)
	if order != nil && len(faults) == 0 {
		b.mu.Lock()
		faults = order.LiveTargetFaults(b.reservedAddresses())
		b.mu.Unlock()
	}
	if len(faults) > 0 {
		b.writeError(w, rpc.Errorf(rpc.Invalid, "%s", joinFaults(faults)))
		return
	}
	state, err := b.committedState(r.Context())
	current := state.Orders[OrderMirroring]
	committed := err == nil && state.WasCommitted(OrderMirroring, order.Number, body)
	if err == nil && !committed && current.Number < order.Number {
		state, err = b.submitMirrorOrder(r.Context(), order.Number, body)
		current = state.Orders[OrderMirroring]
		committed = err == nil && state.WasCommitted(OrderMirroring, order.Number, body)
	}
	switch {
	case err != nil:
		b.writeError(w, err)
	case !committed:
		b.writeError(w, rpc.Errorf(rpc.Invalid, "%v", order.CheckSuccessor(&mirror.Rule{Number: max(current.Number, order.Number)})))
	default:
		b.log.Info().Uint64("number", order.Number).Msg("operator submitted a traffic-mirroring order")
		writeJSON(w, http.StatusOK, map[string]string{"number": strconv.FormatUint(order.Number, 10)})
	}
}

// joinFaults returns the texts of all faults in one line.
func joinFaults(faults []mirror.Fault) string {
	var messages []string
	for i := range faults {
		messages = append(messages, faults[i].Error())
	}
	return strings.Join(messages, "; ")
}

// submitMirrorOrder submits an order to the configuration store, and returns the state that the
// tail holds afterwards.
func (b *Registry) submitMirrorOrder(ctx context.Context, number uint64, body []byte) (chain.State, error) {
	if err := b.submit(ctx, chain.Change{Kind: chain.SetOrder, Name: OrderMirroring, Number: number, Body: body}); err != nil {
		return chain.State{}, err
	}
	return b.committedState(ctx)
}

// committedState returns the committed state as confirmed by the tail.
func (b *Registry) committedState(ctx context.Context) (state chain.State, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.storeTimeout)
	defer cancel()
	answer, err := b.readFromTail(ctx, chain.LogPosition{})
	if err == nil && answer.State != nil {
		state = *answer.State
	}
	return state, err
}

// committedMirrorOrder returns the order in force as confirmed by the tail.
func (b *Registry) committedMirrorOrder(ctx context.Context) (chain.NamedOrder, error) {
	state, err := b.committedState(ctx)
	return state.Orders[OrderMirroring], err
}

// getMirrorOrder handles a request for the order in force.
func (b *Registry) getMirrorOrder(w http.ResponseWriter, r *http.Request) {
	order, err := b.committedMirrorOrder(r.Context())
	switch {
	case err != nil:
		b.writeError(w, err)
	case order.Number == 0:
		b.writeError(w, rpc.Errorf(rpc.NotFound, "there is no order for copies yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(order.Body)
	}
}

// stopMirroring submits an order that stops mirroring, with a number above that of the order in
// force.
func (b *Registry) stopMirroring(w http.ResponseWriter, r *http.Request) {
	for attempt := 0; ; attempt++ {
		current, err := b.committedMirrorOrder(r.Context())
		if err == nil && r.Context().Err() != nil { // the request may have been delayed, and would stop a newer order
			err = rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		if err != nil {
			b.writeError(w, err)
			return
		}
		if order, _ := mirror.ParseRule(current.Body); current.Number == 0 || order != nil && order.Stopped {
			writeJSON(w, http.StatusOK, map[string]string{"number": strconv.FormatUint(current.Number, 10)})
			return
		}
		if attempt == maxStopAttempts {
			b.writeError(w, rpc.Errorf(rpc.Unavailable, "others' orders came in between"))
			return
		}
		number := current.Number + 1
		_, err = b.submitMirrorOrder(r.Context(), number, fmt.Appendf(nil, `{"number":%d,"stopped":true}`, number))
		if err != nil && rpc.KindOf(err) != rpc.Conflict { // on a conflict another order has taken the number
			b.writeError(w, err)
			return
		}
	}
}

// reservedAddresses returns the addresses of live workers, gatekeepers, registries and the
// platform, to which no mirrored request may be sent. The lock is held.
func (b *Registry) reservedAddresses() map[string]bool {
	reserved := map[string]bool{b.settings.PlatformAPI.Address: true}
	for _, worker := range b.endpoints.workers {
		reserved[worker.Addr] = true
	}
	members := b.sessions.Members(b.now())
	for i := range members.Members {
		reserved[members.Members[i].ClientAddr], reserved[members.Members[i].PeerAddr] = true, true
	}
	for _, address := range []string{b.settings.Addresses.Control, b.settings.Addresses.Resolver} {
		reserved[address] = true
	}
	for _, address := range append(slices.Clone(b.core), append(b.seeds, b.settings.InnerAddress(registryPort))...) {
		host, _, err := net.SplitHostPort(address)
		if reserved[address] = true; err == nil {
			reserved[b.settings.InnerAddressOf(host, storePort)] = true
		}
	}
	delete(reserved, "")
	return reserved
}

// addMirrorUpdates adds a newer traffic-mirroring order to an answer, and the seats (all
// gatekeepers that collect mirrored requests) for a gatekeeper that mirrors. The lock is held.
func (b *Registry) addMirrorUpdates(now, receivedAt float64, members membership.MemberList, heartbeat *api.SessionRequest, answer *api.SessionResponse) (updated bool) {
	if order := b.committed.Orders[OrderMirroring]; order.Number > heartbeat.MirrorOrderNumber {
		answer.MirrorOrderNumber, answer.MirrorOrder, updated = order.Number, order.Body, true
	}
	asOf, known := b.sessions.CompleteAsOf(now, b.core)
	if !heartbeat.MirrorsTraffic || !answer.Settled || !known {
		return updated
	}
	answer.SeatsAsOf = asOf - maxReportAgeMs - receivedAt
	var seats []mirror.Member
	var description strings.Builder
	for i := range members.Members {
		if member := &members.Members[i]; member.ClientAddr != "" && !member.Leaving { // a gatekeeper that is leaving hands over what it has collected
			seats = append(seats, mirror.Member{Node: member.Node, Incarnation: member.Incarnation, Region: member.Region, InternalAddress: member.PeerAddr})
			_, _ = fmt.Fprintf(&description, "%q %d %q %q\n", member.Node, member.Incarnation, member.Region, member.PeerAddr)
		}
	}
	if len(seats) == 0 {
		return updated
	}
	if answer.SeatsChecksum = xxh3.HashString(description.String()) | 1; answer.SeatsChecksum != heartbeat.SeatsChecksum {
		answer.Seats, updated = seats, true
	}
	return updated
}

// logMirrorOrder logs a traffic-mirroring order that has come into force. The lock is held.
func (b *Registry) logMirrorOrder(previous chain.NamedOrder) {
	if current := b.committed.Orders[OrderMirroring]; current.Number != previous.Number {
		order, _ := mirror.ParseRule(current.Body)
		b.log.Info().Uint64("number", current.Number).Bool("stopped", order == nil || order.Stopped).Msg("traffic-mirroring order in force")
	}
}
