package placer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
)

// Crossing decides which requests leave their data centre. It replaces crossDataCentrePenalty.
type Crossing interface {
	// Choose returns the index of the option to which the request goes. chosen is false if none may be used.
	Choose(request balancer.Request, options []balancer.Option) (index int, chosen bool)
	// WorthMoving reports whether it is worth its cost to move bytes between data centres to save time.
	WorthMoving(bytes int, saved, objective time.Duration) bool
	// RecordRoundTrip records the time that the opening of a connection to a data centre took, RecordAnswer an answer there
	// that reports the target's load, and RecordFailure a target there that could not be reached or did not answer.
	RecordRoundTrip(dataCentre string, took time.Duration)
	RecordAnswer(dataCentre string)
	RecordFailure(dataCentre string)
}

const (
	// answerTokenBytes is the assumed size of a token of an answer, with its event.
	answerTokenBytes = 100
	// headerBytes is the assumed size of the headers of a request and of its answer.
	headerBytes = 1000
)

// wireBytes returns the bytes that are expected to move between data centres if the call goes to another one.
func (c Call) wireBytes() int { return c.BodyBytes + headerBytes + c.OutputTokens*answerTokenBytes }

// groupByDataCentre orders the targets of each service by their data centres, and counts these.
func (p *Placer) groupByDataCentre() {
	names := make(map[string]struct{})
	p.dataCentres = make(map[netip.AddrPort]string, len(p.targets))
	for _, t := range p.targets {
		p.dataCentres[t.Address] = t.DataCentre
		names[t.DataCentre] = struct{}{}
	}
	p.dataCentreCount = max(len(names), 1)
	for _, served := range p.byService {
		slices.SortStableFunc(served, func(a, b *target) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	}
}

// dataCentreEnd returns the index after the last candidate of the data centre of the first one.
func dataCentreEnd(candidates []candidate) (end int) {
	for end < len(candidates) && candidates[end].target.DataCentre == candidates[0].target.DataCentre {
		end++
	}
	return end
}

// chooseDataCentre returns the candidates of the data centre to which the call goes, which are none if it may go to none, and their
// share of the unseen work. The candidates must be ordered by data centre. Each data centre is assumed to have an equal share, since
// most requests stay at home.
func (p *Placer) chooseDataCentre(call Call, candidates []candidate, servedAtHome bool, now time.Time) (chosen []candidate, share float64) {
	options, groups := p.options[:0], p.groups[:0]
	share = 1 / float64(p.dataCentreCount)
	for rest := candidates; len(rest) > 0; {
		end := dataCentreEnd(rest)
		group := rest[:end]
		p.preferHome(call, group)
		p.addUnseenWork(call, group, share, now)
		options, groups = append(options, p.option(group)), append(groups, group)
		rest = rest[end:]
	}
	p.options, p.groups = options, groups
	index, found := p.settings.Crossing.Choose(balancer.Request{
		Objective: call.Objective, Bytes: call.wireBytes(), Daemons: p.daemonCount(), ServedAtHome: servedAtHome,
	}, options)
	if !found {
		return nil, share
	}
	return groups[index], share
}

// option describes the best target among the candidates of one data centre.
func (p *Placer) option(group []candidate) balancer.Option {
	best, free := &group[0], 0
	for i := range group {
		if group[i].cost < best.cost {
			best = &group[i]
		}
		free += max(group[i].freeSlots, 0)
	}
	return balancer.Option{DataCentre: best.target.DataCentre, Expected: best.expected + best.answerTime + best.unseenTime, FreeSlots: free}
}

// mayMove reports whether cached tokens may move between two data centres for the call, in place of their prefill.
func (x *holderIndex) mayMove(from, to string, tokens int, duration time.Duration) bool {
	p := x.placer
	if p.settings.Crossing == nil || from == to {
		return true
	}
	saved := p.rates[x.call.Service].prefillTime(tokens) - duration
	return p.settings.Crossing.WorthMoving(tokens*p.engines[x.call.Service].TokenBytes, saved, x.call.Objective)
}

// RecordConnect records the time that the opening of a connection to the target at an address took.
func (p *Placer) RecordConnect(address netip.AddrPort, took time.Duration) {
	if p.settings.Crossing == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if dataCentre, known := p.dataCentres[address]; known {
		p.settings.Crossing.RecordRoundTrip(dataCentre, took)
	}
}

// recordAnswer and recordFailure tell Settings.Crossing of the target's data centre.
func (p *Placer) recordAnswer(t *target) {
	if p.settings.Crossing != nil {
		p.settings.Crossing.RecordAnswer(t.DataCentre)
	}
}

func (p *Placer) recordFailure(t *target) {
	if p.settings.Crossing != nil {
		p.settings.Crossing.RecordFailure(t.DataCentre)
	}
}
