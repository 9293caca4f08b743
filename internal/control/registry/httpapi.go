package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

const (
	maxResolvedAddresses  = 64
	resolveValidS         = 2.0      // seconds that a client may use an answer of the directory
	maxConfigurationBytes = 24 << 20 // also the limit for a page of the platform's list
	maxZoneAttempts       = 4        // attempts to change a zone while others change it too
)

// errorResponses maps each kind of error to the HTTP response for an outside caller.
var errorResponses = map[rpc.Kind]struct {
	status     int
	retryAfter string // the header Retry-After, for errors that may pass
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

// handlers returns the HTTP handler for each configured address.
func (b *Registry) handlers() map[string]*http.ServeMux {
	control, directory := http.NewServeMux(), http.NewServeMux()
	control.HandleFunc("PUT /timetable", b.putConfiguration)
	control.HandleFunc("GET /timetable", b.getConfiguration)
	control.HandleFunc("POST /evacuate/{zone}", b.evacuationHandler(chain.Evacuate))
	control.HandleFunc("DELETE /evacuate/{zone}", b.evacuationHandler(chain.EndEvacuation))
	b.addMirrorRoutes(control)
	directory.HandleFunc("GET /resolve", b.handleResolve)
	handlers := map[string]*http.ServeMux{}
	if address := b.settings.Addresses.Control; address != "" {
		handlers[address] = control
	}
	if address := b.settings.Addresses.Resolver; address != "" {
		if handlers[address] != nil {
			control.Handle("/resolve", directory)
		} else {
			handlers[address] = directory
		}
	}
	return handlers
}

// listen starts the HTTP servers for outside callers.
func (b *Registry) listen() ([]*http.Server, error) {
	var servers []*http.Server
	for addr, mux := range b.handlers() {
		listener, err := rpc.Listen(addr)
		if err != nil {
			return nil, fmt.Errorf("HTTP listener at %s: %w", addr, err)
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 20 * time.Second,
			WriteTimeout: 20 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	return servers, nil
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error response according to errorResponses.
func (b *Registry) writeError(w http.ResponseWriter, err error) {
	response := errorResponses[rpc.KindOf(err)]
	if response.retryAfter != "" {
		w.Header().Set("Retry-After", response.retryAfter)
	}
	b.mu.Lock()
	switch {
	case response.status == http.StatusConflict:
		b.counters.Conflicts++
	case response.status < 500:
		b.counters.InvalidRequests++
	default:
		b.counters.UnavailableRequests++
	}
	b.mu.Unlock()
	writeJSON(w, response.status, map[string]string{"error": err.Error()})
}

// putConfiguration handles a new configuration. It is fully validated before it is submitted to the
// configuration store.
func (b *Registry) putConfiguration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if err != nil {
		b.writeError(w, rpc.Errorf(rpc.Invalid, "the body was not read whole: %v", err))
		return
	}
	configuration, err := routeconfig.Parse(body)
	if err != nil {
		b.writeError(w, rpc.Errorf(rpc.Invalid, "%v", err))
		return
	}
	if err := b.submit(r.Context(), chain.Change{Kind: chain.PutConfiguration, Edition: configuration.Version, Body: body}); err != nil {
		if rpc.KindOf(err) == rpc.Conflict {
			b.log.Warn().Str("edition", routeconfig.FormatVersion(configuration.Version)).Msg("refused a different configuration with a committed edition")
		}
		b.writeError(w, err)
		return
	}
	b.mu.Lock()
	b.counters.ConfigurationsStored++
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"edition": routeconfig.FormatVersion(configuration.Version)})
}

// submit submits a change to the configuration store, and returns before the caller's timeout.
func (b *Registry) submit(ctx context.Context, change chain.Change) error {
	ctx, cancel := context.WithTimeout(ctx, b.storeTimeout)
	defer cancel()
	_, err := rpc.Call[api.CommitRequest, api.CommitResponse](ctx, b.store, api.CommitRequest{Change: change})
	return err
}

// readFromTail returns the committed state as confirmed by the tail of the chain. State recalled
// from a machine's disk may be old and is refused.
func (b *Registry) readFromTail(ctx context.Context, held chain.LogPosition) (answer api.CommittedStateResponse, err error) {
	answer, err = rpc.Call[api.CommittedStateRequest, api.CommittedStateResponse](ctx, b.store, api.CommittedStateRequest{LastKnown: held})
	if err == nil && answer.Stale {
		err = rpc.Errorf(rpc.Stale, "the tail did not answer")
	}
	return answer, err
}

// getConfiguration handles a request for the newest configuration, as confirmed by the tail.
func (b *Registry) getConfiguration(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), b.storeTimeout)
	defer cancel()
	answer, err := b.readFromTail(ctx, chain.LogPosition{})
	switch {
	case err != nil:
		b.writeError(w, err)
	case answer.State == nil || len(answer.State.Body) == 0:
		b.writeError(w, rpc.Errorf(rpc.NotFound, "there is no configuration yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer.State.Body)
	}
}

// submitZoneChange submits the start or end of a zone's evacuation. Such an order has no number. If
// it was delayed here or in a socket while this machine was frozen or partitioned, it must not undo
// a later change. It is therefore bound to the position that the tail confirms first, and dropped
// if the caller has disconnected by then: the end of a connection arrives right behind the order.
// If the zone has been changed in between, all of this is repeated.
func (b *Registry) submitZoneChange(ctx context.Context, change chain.Change) (err error) {
	bounded, cancel := context.WithTimeout(ctx, b.storeTimeout)
	defer cancel()
	b.mu.Lock()
	held := b.committed.Last
	b.mu.Unlock()
	for range maxZoneAttempts {
		var answer api.CommittedStateResponse
		if answer, err = b.readFromTail(bounded, held); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		_, err = rpc.Call[api.CommitRequest, api.CommitResponse](bounded, b.store, api.CommitRequest{Change: change, LastKnown: answer.Last})
		if rpc.KindOf(err) != rpc.Stale {
			return err
		}
	}
	return err
}

// evacuationHandler returns the handler for the start or the end of a zone's evacuation.
func (b *Registry) evacuationHandler(kind chain.ChangeKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		b.mu.Lock()
		_, known := b.zoneRegions[zone]
		known = known || len(b.zoneRegions) == 0
		b.mu.Unlock()
		if !known {
			b.writeError(w, rpc.Errorf(rpc.NotFound, "no zone %q", zone))
			return
		}
		if err := b.submitZoneChange(r.Context(), chain.Change{Kind: kind, Zone: zone}); err != nil {
			b.writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"zone": zone})
	}
}

// handleResolve answers a client of the directory with gatekeepers' addresses.
func (b *Registry) handleResolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addrs := b.resolve(query.Get("region"), query.Get("zone"))
	if len(addrs) == 0 {
		b.writeError(w, rpc.Errorf(rpc.Unavailable, "no gatekeeper has signed in"))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"addresses": addrs, "validS": min(resolveValidS, b.settings.Bounds.TTLMaxS)})
}
