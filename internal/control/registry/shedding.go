package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"foxwood/internal/control/shedding"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// DutyShedding is the duty of setting the load-shedding level. Only registries with load shedding
// stand for it.
const DutyShedding = "level"

const (
	levelInterval     = 100 * time.Millisecond
	loadReportTimeout = 350 * time.Millisecond
	maxFixMs          = 24 * 3600e3
)

// EnableShedding enables load shedding. It must be called before Serve.
func (b *Registry) EnableShedding(options shedding.Options) {
	b.shedding = shedding.NewHolder(rand.Uint64() | 1)
	b.shedding.NeverShedBelow, b.shedding.MinServedShare, b.shedding.CallerHeader, b.shedding.SingleThreshold = options.NeverShedBelow, options.MinServedShare, options.CallerHeader, options.SingleThreshold
}

// serveSheddingLevel registers the handlers and starts the loop for the shedding level.
func (b *Registry) serveSheddingLevel(ctx context.Context, server *rpc.Server) {
	if b.shedding == nil {
		return
	}
	rpc.Handle(server, b.handleLoadReport)
	rpc.Handle(server, b.handleFixLevel)
	go runPeriodically(ctx, levelInterval, nil, func(context.Context) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.stepSheddingLevel()
	})
}

// applySheddingDuty starts the duty if it was won, and stops it if it was lost. The lock is held.
func (b *Registry) applySheddingDuty(duty string, term uint64, won bool) {
	switch {
	case b.shedding == nil || duty != DutyShedding:
	case won:
		b.shedding.Begin(b.now(), term)
	default:
		b.shedding.End()
	}
}

// stepSheddingLevel recomputes the level if this registry holds the duty, and logs each change. The
// lock is held.
func (b *Registry) stepSheddingLevel() {
	now := b.now()
	if _, ok := b.election.Holds(now, DutyShedding); !ok || b.stopped {
		return
	}
	since := b.shedding.ChangedAt()
	if !b.shedding.Step(now, b.memberCount) {
		return
	}
	level := b.shedding.Level()
	b.log.Info().Uint64("number", level.Number).Uint32("cut", level.Threshold).Str("refused", shedding.DescribeAll(level.Threshold, level.ServiceThresholds)).Str("why", level.Reason).
		Uint64("turn", level.Rotation).Float64("lastHeldMs", now-since).Float64("offered", b.shedding.Load().Sum()).Float64("fits", b.shedding.AdmittedRate()).
		Interface("fitsAt", b.shedding.ServiceRates()).
		Msg("shedding level")
}

// handleLoadReport handles a gatekeeper's load report here or forwards it to the holder of the
// duty.
func (b *Registry) handleLoadReport(ctx context.Context, request api.PressureReport) (answer api.SheddingLevel, err error) {
	b.mu.Lock()
	now := b.now()
	if _, ok := b.election.Holds(now, DutyShedding); ok {
		defer b.mu.Unlock()
		b.shedding.Receive(now, request.Report)
		b.stepSheddingLevel()
		return api.SheddingLevel{Level: b.shedding.Level()}, nil
	}
	peer := b.peers[b.election.Holder(now, DutyShedding)]
	b.mu.Unlock()
	if peer == nil || request.Forwarded {
		return answer, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	if answer, err = rpc.Call[api.PressureReport, api.SheddingLevel](ctx, peer, request); err == nil {
		b.mu.Lock()
		b.shedding.Observe(answer.Level)
		b.mu.Unlock()
	}
	return answer, err
}

// handleFixLevel handles an operator's order to fix the level. Like an order for a zone it has no
// number: it is dropped if the tail is not reached, or if the caller has disconnected by then.
func (b *Registry) handleFixLevel(ctx context.Context, request api.FixSheddingLevel) (answer api.SheddingLevel, err error) {
	if request.Cut > policy.ShedNothing || !(request.DurationMS >= 0 && request.DurationMS <= maxFixMs) {
		return answer, rpc.Errorf(rpc.Invalid, "no such cut, or not for a time up to a day")
	}
	b.mu.Lock()
	held := b.committed.Last
	b.mu.Unlock()
	if !request.Forwarded {
		readCtx, cancel := context.WithTimeout(ctx, b.storeTimeout)
		_, err = b.readFromTail(readCtx, held)
		cancel()
		if err == nil && ctx.Err() != nil {
			err = rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		if err != nil {
			return answer, err
		}
	}
	b.mu.Lock()
	now := b.now()
	if _, ok := b.election.Holds(now, DutyShedding); ok {
		defer b.mu.Unlock()
		b.shedding.Override(now, max(request.Cut, 1), request.DurationMS)
		b.log.Info().Str("refused", shedding.Describe(request.Cut)).Float64("forMs", request.DurationMS).Msg("an operator's order for the shedding level")
		return api.SheddingLevel{Level: b.shedding.Level()}, nil
	}
	peer := b.peers[b.election.Holder(now, DutyShedding)]
	b.mu.Unlock()
	if peer == nil || request.Forwarded {
		return answer, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[api.FixSheddingLevel, api.SheddingLevel](ctx, peer, request)
}

// sheddingStatusLines returns the lines of the status on load shedding. The lock is held.
func (b *Registry) sheddingStatusLines() (lines []string) {
	if b.shedding == nil {
		return nil
	}
	now, level := b.now(), b.shedding.Level()
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	addLine("duty %s held by %s", DutyShedding, b.election.Holder(now, DutyShedding))
	addLine("shedding level %d turn %d refuses %s, never shed: priority below %d, least of a tier %.2f, callers by %q",
		level.Number, level.Rotation, shedding.DescribeAll(level.Threshold, level.ServiceThresholds), level.NeverShedBelow, level.MinServedShare, level.CallerHeader)
	if _, ok := b.election.Holds(now, DutyShedding); ok {
		addLine("shedding level stands for %.0f ms: %s; offered %.1f/s, fits %.1f/s (0: not known), at services %v", now-b.shedding.ChangedAt(), level.Reason,
			b.shedding.Load().Sum(), b.shedding.AdmittedRate(), b.shedding.ServiceRates())
	}
	return lines
}
