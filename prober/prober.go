// Package prober finds out which targets a daemon cannot reach, although they may be sound.
//
// A target that owes an answer, or whose connection broke, may be in trouble itself, or the link to it may be lost. Opening a
// connection tells them apart. The Prober does so for the targets that are suspect, and reports the result. If it reaches none of
// several, and no target answers, the daemon's own links may be lost, so it tries the others too before requests have to.
//
// # Usage
//
//	p := prober.New(prober.Settings{Targets: placer, Reach: connector.Reach, Now: time.Now, Logger: logger})
//	p.Start(ctx)
//	defer p.Close()
package prober

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// roundInterval is the time between two looks at the suspects.
	roundInterval = 100 * time.Millisecond
	// failedInterval is the time between two probes of a target to which connections fail, slowInterval of one that only owes an
	// answer.
	failedInterval = 400 * time.Millisecond
	slowInterval   = time.Second
	// maxProbes bounds the probes of one round.
	maxProbes = 24
	// minUnreached is the number of suspects of which none is reached before the others are probed too, and quietTime the time
	// without an answer of any target.
	minUnreached = 2
	quietTime    = 250 * time.Millisecond
)

// Targets knows the targets and which of them are suspect.
type Targets interface {
	// Links returns the targets by what is known of the links to them.
	Links() placer.Links
	// RecordLink records whether a target could be reached.
	RecordLink(target placer.TargetHash, reached bool)
}

// Settings are the parameters of a Prober.
type Settings struct {
	Targets Targets
	// Reach returns nil if a connection to the address can be opened.
	Reach  func(ctx context.Context, address netip.AddrPort) error
	Now    func() time.Time
	Logger *slog.Logger
}

// Prober probes suspect targets.
type Prober struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	// probedAt is when each target was last probed, and lost are those that were not reached then. Only the loop uses them.
	probedAt map[placer.TargetHash]time.Time
	lost     map[placer.TargetHash]bool
}

// New returns a Prober that has not started.
func New(settings Settings) *Prober {
	return &Prober{settings: settings, cancel: func() {}, probedAt: make(map[placer.TargetHash]time.Time), lost: make(map[placer.TargetHash]bool)}
}

// Start probes suspects until Close or the end of ctx.
func (p *Prober) Start(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.tasks.Go(func() { supervisor.Run(ctx, p.settings.Logger, "probe targets", p.run) })
}

// Close ends the probes and waits for them.
func (p *Prober) Close() error {
	p.cancel()
	p.tasks.Wait()
	return nil
}

func (p *Prober) run(ctx context.Context) {
	for waiter.Sleep(ctx, roundInterval) {
		p.Round(ctx)
	}
}

// Round probes the suspects that are due. If none of several is reached and no target has answered lately, it probes the others too.
func (p *Prober) Round(ctx context.Context) {
	links := p.settings.Targets.Links()
	p.forget(links.Suspects, links.Others)
	probed, reached := p.probe(ctx, links.Suspects)
	if probed >= minUnreached && reached == 0 && p.settings.Now().Sub(links.AnsweredAt) >= quietTime {
		p.probe(ctx, links.Others)
	}
}

// forget forgets the targets that are not listed any more.
func (p *Prober) forget(listed ...[]placer.Suspect) {
	if len(p.probedAt) == 0 {
		return
	}
	known := make(map[placer.TargetHash]bool)
	for _, s := range slices.Concat(listed...) {
		known[s.Target] = true
	}
	for target := range p.probedAt {
		if !known[target] {
			delete(p.probedAt, target)
			delete(p.lost, target)
		}
	}
}

// due returns the targets whose probe is due, those that were not probed for the longest time first.
func (p *Prober) due(targets []placer.Suspect) (due []placer.Suspect) {
	now := p.settings.Now()
	for _, s := range targets {
		interval := slowInterval
		if s.Failed {
			interval = failedInterval
		}
		if now.Sub(p.probedAt[s.Target]) >= interval {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b placer.Suspect) int {
		return cmp.Or(p.probedAt[a.Target].Compare(p.probedAt[b.Target]), cmp.Compare(a.Target, b.Target))
	})
	return due[:min(len(due), maxProbes)]
}

// probe opens a connection to each target that is due, and records which are reached.
func (p *Prober) probe(ctx context.Context, targets []placer.Suspect) (probed, reached int) {
	due := p.due(targets)
	results := make([]error, len(due))
	var calls conc.WaitGroup
	for i, s := range due {
		calls.Go(func() { results[i] = p.settings.Reach(ctx, s.Address) })
	}
	calls.Wait()
	if ctx.Err() != nil {
		return 0, 0
	}
	for i, s := range due {
		p.probedAt[s.Target] = p.settings.Now()
		p.settings.Targets.RecordLink(s.Target, results[i] == nil)
		p.note(s, results[i])
		if results[i] == nil {
			reached++
		}
	}
	return len(due), reached
}

// note logs a link that is lost or back.
func (p *Prober) note(s placer.Suspect, err error) {
	switch {
	case err != nil && !p.lost[s.Target]:
		p.lost[s.Target] = true
		p.settings.Logger.Info("target cannot be reached", "incarnation", uint64(s.Target), "address", s.Address, "error", err)
	case err == nil && p.lost[s.Target]:
		delete(p.lost, s.Target)
		p.settings.Logger.Info("target can be reached again", "incarnation", uint64(s.Target), "address", s.Address)
	}
}
