package bothy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// DutyLevel is the duty of setting the load-shedding level. Only registries with load shedding
// stand for it.
const DutyLevel = "level"

const (
	levelInterval     = 100 * time.Millisecond
	loadReportTimeout = 350 * time.Millisecond
	maxFixMs          = 24 * 3600e3
)

// Shed enables load shedding. It must be called before Serve.
func (b *Bothy) Shed(options snowline.Options) {
	b.shedding = snowline.NewHolder(rand.Uint64() | 1)
	b.shedding.Never, b.shedding.Least, b.shedding.Caller, b.shedding.Whole = options.Never, options.Least, options.Caller, options.Whole
}

// serveSheddingLevel registers the handlers and starts the loop for the shedding level.
func (b *Bothy) serveSheddingLevel(ctx context.Context, server *rpc.Server) {
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
func (b *Bothy) applySheddingDuty(duty string, term uint64, won bool) {
	switch {
	case b.shedding == nil || duty != DutyLevel:
	case won:
		b.shedding.Begin(b.now(), term)
	default:
		b.shedding.End()
	}
}

// stepSheddingLevel recomputes the level if this registry holds the duty, and logs each change. The
// lock is held.
func (b *Bothy) stepSheddingLevel() {
	now := b.now()
	if _, ok := b.election.Holds(now, DutyLevel); !ok || b.stopped {
		return
	}
	since := b.shedding.Since()
	if !b.shedding.Step(now, b.memberCount) {
		return
	}
	level := b.shedding.Level()
	b.log.Info().Uint64("number", level.Number).Uint32("cut", level.Cut).Str("refused", snowline.DescribeAll(level.Cut, level.Cuts)).Str("why", level.Why).
		Uint64("turn", level.Turn).Float64("lastHeldMs", now-since).Float64("offered", b.shedding.Load().Sum()).Float64("fits", b.shedding.Rate()).
		Interface("fitsAt", b.shedding.Rates()).
		Msg("shedding level")
}

// handleLoadReport handles a gatekeeper's load report here or forwards it to the holder of the
// duty.
func (b *Bothy) handleLoadReport(ctx context.Context, request waymark.Strain) (answer waymark.Eased, err error) {
	b.mu.Lock()
	now := b.now()
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		defer b.mu.Unlock()
		b.shedding.Hear(now, request.Report)
		b.stepSheddingLevel()
		return waymark.Eased{Level: b.shedding.Level()}, nil
	}
	peer := b.peers[b.election.Holder(now, DutyLevel)]
	b.mu.Unlock()
	if peer == nil || request.Passed {
		return answer, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Passed = true
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	if answer, err = rpc.Call[waymark.Strain, waymark.Eased](ctx, peer, request); err == nil {
		b.mu.Lock()
		b.shedding.Note(answer.Level)
		b.mu.Unlock()
	}
	return answer, err
}

// handleFixLevel handles an operator's order to fix the level. Like an order for a zone it has no
// number: it is dropped if the tail is not reached, or if the caller has disconnected by then.
func (b *Bothy) handleFixLevel(ctx context.Context, request waymark.FixLevel) (answer waymark.Eased, err error) {
	if request.Cut > policy.MarkOpen || !(request.ForMs >= 0 && request.ForMs <= maxFixMs) {
		return answer, rpc.Errorf(rpc.Invalid, "no such cut, or not for a time up to a day")
	}
	b.mu.Lock()
	held := b.committed.Last
	b.mu.Unlock()
	if !request.Passed {
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
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		defer b.mu.Unlock()
		b.shedding.Fix(now, max(request.Cut, 1), request.ForMs)
		b.log.Info().Str("refused", snowline.Describe(request.Cut)).Float64("forMs", request.ForMs).Msg("an operator's order for the shedding level")
		return waymark.Eased{Level: b.shedding.Level()}, nil
	}
	peer := b.peers[b.election.Holder(now, DutyLevel)]
	b.mu.Unlock()
	if peer == nil || request.Passed {
		return answer, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Passed = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[waymark.FixLevel, waymark.Eased](ctx, peer, request)
}

// sheddingStatusLines returns the lines of the status on load shedding. The lock is held.
func (b *Bothy) sheddingStatusLines() (lines []string) {
	if b.shedding == nil {
		return nil
	}
	now, level := b.now(), b.shedding.Level()
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	addLine("duty %s held by %s", DutyLevel, b.election.Holder(now, DutyLevel))
	addLine("shedding level %d turn %d refuses %s, never shed: priority below %d, least of a tier %.2f, callers by %q",
		level.Number, level.Turn, snowline.DescribeAll(level.Cut, level.Cuts), level.Never, level.Least, level.Caller)
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		addLine("shedding level stands for %.0f ms: %s; offered %.1f/s, fits %.1f/s (0: not known), at services %v", now-b.shedding.Since(), level.Why,
			b.shedding.Load().Sum(), b.shedding.Rate(), b.shedding.Rates())
	}
	return lines
}
