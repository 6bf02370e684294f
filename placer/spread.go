package placer

import (
	"math"
	"math/bits"
	"time"
)

const (
	// unseenTime is how long other daemons' requests are typically not known yet: an interval between two messages of package
	// broadcaster and the way through two aggregators.
	unseenTime = 100 * time.Millisecond
	// sendRateDecay is the time constant of the rate at which this daemon sends requests.
	sendRateDecay = 3 * time.Second
	// levelRounds bounds the steps in which the level is approached. Each step counts the targets below it again.
	levelRounds = 8
	// callClasses is the number of classes of calls of a service that are counted apart: those with a large shared part by that
	// part, the others by their size.
	callClasses = 256
)

// sendRate is the exponentially decayed number of requests that this daemon sent, and of their tokens to prefill.
type sendRate struct {
	requests, tokens float64
	at               time.Time
}

func (r *sendRate) decay(now time.Time) {
	if r.at.Equal(now) {
		return
	}
	kept := math.Exp(-float64(now.Sub(r.at)) / float64(sendRateDecay))
	r.requests, r.tokens, r.at = r.requests*kept, r.tokens*kept, now
}

func (r *sendRate) add(tokens int, now time.Time) {
	r.decay(now)
	r.requests++
	r.tokens += float64(tokens)
}

// serviceRates are the rates of the calls of a service: those of this daemon, all together and by class, and those of the other daemons
// with a large shared part by that part, as they announce them.
type serviceRates struct {
	all     sendRate
	classes [callClasses]sendRate
	told    [callClasses]sendRate
}

// class returns the class of the call. Calls of one class are expected to be sent to the same targets. If announced is set, the class
// is that of a shared part whose uses daemons tell each other.
func (c Call) class(version int64) (class int, announced bool) {
	largest := Part{}
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		if part.Tokens > largest.Tokens {
			largest = part
		}
	}
	if largest.Tokens >= minAnnouncedTokens {
		return int(PartKey(c.Model, c.CacheNamespace, version, largest.ID) % callClasses), true
	}
	return bits.Len(uint(c.PromptTokens)) % callClasses, false
}

func (p *Placer) ratesOf(service string) *serviceRates {
	rates := p.sendRates[service]
	if rates == nil {
		rates = &serviceRates{}
		p.sendRates[service] = rates
	}
	return rates
}

// recordSend counts a request that is sent.
func (p *Placer) recordSend(call Call, version int64, tokens int, now time.Time) {
	rates := p.ratesOf(call.Service)
	rates.all.add(tokens, now)
	class, _ := call.class(version)
	rates.classes[class].add(tokens, now)
}

// recordTold counts a request with a large shared part of which a peer told.
func (p *Placer) recordTold(holding Holding, now time.Time) {
	if t := p.byHash[holding.Target]; t != nil && holding.Tokens >= minAnnouncedTokens {
		p.ratesOf(t.Service).told[holding.Key%callClasses].add(0, now)
	}
}

// unseenRequests estimates how many requests of other daemons are at the targets of the call's service that this daemon has not
// heard of yet: those of the call's class, and the rest with the tokens of each. It assumes that all daemons send as much as this
// one. For a large shared part it goes by what they told: the requests of one session all come to the same daemon, and would leave
// the target that has its parts for the sake of others that do not exist.
func (p *Placer) unseenRequests(call Call, version int64, now time.Time) (similar, rest float64, restTokens int) {
	rates := p.sendRates[call.Service]
	if rates == nil || p.daemonCount() == 1 {
		return 0, 0, 0
	}
	number, announced := call.class(version)
	class := &rates.classes[number]
	rates.all.decay(now)
	class.decay(now)
	unseen := float64(p.daemonCount()-1) * unseenTime.Seconds() / sendRateDecay.Seconds()
	rest = max(rates.all.requests-class.requests, 0)
	if rest > 0 {
		restTokens = int(max(rates.all.tokens-class.tokens, 0) / rest)
	}
	if announced {
		told := &rates.told[number]
		told.decay(now)
		return told.requests * unseenTime.Seconds() / sendRateDecay.Seconds(), rest * unseen, restTokens
	}
	return class.requests * unseen, rest * unseen, restTokens
}

// draw chooses one of the candidates, which get a share of the unseen work. With no other daemons it is the one with the lowest cost.
//
// Requests that other daemons sent lately are not known yet. Those daemons also send to the targets with the lowest costs, so that
// the unseen work fills these up to a common level. If it were left out, all daemons would send to the targets that were the
// least loaded in the last messages. The work of other calls than this one raises the cost of targets with little load.
// The calls of the same class are spread over the targets whose costs are below their level; the call goes to one of
// these, with the probability with which the others do.
func (p *Placer) draw(call Call, candidates []candidate, share float64, now time.Time) *candidate {
	similar, _, _ := p.unseenRequests(call, candidates[0].version, now)
	drawn := &candidates[0]
	for i := range candidates {
		c := &candidates[i]
		c.level = levelled{cost: float64(c.cost), marginal: c.marginal + c.factor*float64(p.usualTime(call, c.prefillTokens+overheadTokens(call)))}
		if c.cost < drawn.cost {
			drawn = c
		}
	}
	if similar == 0 {
		return drawn
	}
	level, total := unseenLevel(candidates, share*similar), 0.
	for i := range candidates {
		if unseen := candidates[i].level.unseen(level); unseen > 0 {
			total += unseen
			if p.random.Float64()*total < unseen {
				drawn = &candidates[i]
			}
		}
	}
	return drawn
}

// usualTime returns the time that a request with tokens to prefill takes from the next one at the usual target.
func (p *Placer) usualTime(call Call, tokens int) time.Duration {
	if call.Model == "" {
		return runningRequestPenalty
	}
	return runningRequestPenalty + p.rates[call.Service].prefillTime(tokens)
}

// addUnseenWork raises the costs by the unseen work of other calls, of which the candidates get a share.
func (p *Placer) addUnseenWork(call Call, candidates []candidate, share float64, now time.Time) {
	_, requests, tokens := p.unseenRequests(call, candidates[0].version, now)
	if requests == 0 {
		return
	}
	usual := float64(p.usualTime(call, tokens))
	for i := range candidates {
		c := &candidates[i]
		marginal := c.marginal + c.factor*usual
		c.level = levelled{cost: c.loadCost + marginal, marginal: marginal}
	}
	level := unseenLevel(candidates, share*requests)
	for i := range candidates {
		c := &candidates[i]
		c.unseenTime = time.Duration(c.level.unseen(level) * c.level.marginal)
		c.cost += c.unseenTime
	}
}

// levelled is the cost of a request at a target as far as it is known, and how much one more request there adds to it, both in
// nanoseconds.
type levelled struct{ cost, marginal float64 }

// unseen returns the number of requests with which the cost reaches the level.
func (l levelled) unseen(level float64) float64 { return max(level-l.cost, 0) / l.marginal }

// unseenLevel returns the cost up to which a number of requests raises that of the candidates below it.
func unseenLevel(candidates []candidate, requests float64) (level float64) {
	level = math.Inf(1)
	for range levelRounds {
		weight, sum := 0., requests
		for i := range candidates {
			if l := candidates[i].level; l.cost < level {
				weight += 1 / l.marginal
				sum += l.cost / l.marginal
			}
		}
		next := sum / weight
		if weight == 0 || next >= level {
			break
		}
		level = next
	}
	return level
}
