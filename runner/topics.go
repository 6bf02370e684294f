package runner

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// The topics of the gossip sections that daemons exchange.
const (
	topicTargets     = "targets"
	topicModelUse    = "model_use"
	topicServiceUse  = "service_use"
	topicSelectorUse = "selector_use"
	topicQuarantine  = "quarantine"
	topicHotPrefixes = "hot_prefixes"
	topicCrashes     = "crashes"

	// Hot prefixes may occupy 1/hotPrefixDivisor of the bytes that are left in a message, but at
	// least minHotPrefixBytes if that many are left.
	minHotPrefixBytes = 256
	hotPrefixDivisor  = 2
)

func sectionOf(topic string, data []byte) gossiper.Section {
	return gossiper.Section{Topic: topic, Data: data}
}

// topics lists the state that this daemon's components exchange with the other daemons of the
// data centre.
func (d *Daemon) topics() []gossiper.Topic {
	return []gossiper.Topic{
		gossiper.FuncTopic{TopicName: topicTargets, ExportFunc: d.observationExporter.export, ImportFunc: d.importObservations},
		d.usageTopic(topicModelUse, func() *limiter.Limiter { return d.modelLimiter }),
		d.usageTopic(topicServiceUse, func() *limiter.Limiter { return d.serviceLimiter }),
		d.usageTopic(topicSelectorUse, func() *limiter.Limiter { return d.selectorLimiter }),
		gossiper.FuncTopic{TopicName: topicHotPrefixes, ExportFunc: d.exportHotPrefixes, ImportFunc: d.importHotPrefixes},
		gossiper.FuncTopic{TopicName: topicQuarantine, ExportFunc: d.exportQuarantine, ImportFunc: d.importQuarantine},
		gossiper.FuncTopic{TopicName: topicCrashes, ExportFunc: d.exportCrashes, ImportFunc: d.importCrashes},
	}
}

// observationExporter selects the observations of targets that fit into a message: first the
// targets that are not live, then the live ones in round-robin order over successive messages.
type observationExporter struct {
	daemon *Daemon
	mu     sync.Mutex
	cursor int
}

func (o *observationExporter) export(maxBytes int) []byte {
	observations := o.daemon.detector.Export()
	if len(observations) == 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	message := &peerv1.Observations{}
	remaining := maxBytes
	for _, observation := range observations {
		if observation.State != detector.Live {
			remaining = o.appendIfFits(message, observation, remaining)
		}
	}
	for range observations {
		observation := observations[o.cursor%len(observations)]
		if observation.State != detector.Live {
			o.cursor++
			continue
		}
		rest := o.appendIfFits(message, observation, remaining)
		if rest == remaining {
			break
		}
		remaining = rest
		o.cursor++
	}
	return marshal(message)
}

// appendIfFits appends the observation to the message if it fits, and returns the remaining
// bytes.
func (o *observationExporter) appendIfFits(message *peerv1.Observations, observation detector.Observation, remaining int) int {
	wire := o.toWire(observation)
	size := proto.Size(&peerv1.Observations{Observations: []*peerv1.Observation{wire}})
	if size > remaining {
		return remaining
	}
	message.Observations = append(message.Observations, wire)
	return remaining - size
}

// encodeObservations encodes the observations of the named targets.
func (o *observationExporter) encodeObservations(names []string) []byte {
	message := &peerv1.Observations{}
	for _, observation := range o.daemon.detector.Export() {
		for _, name := range names {
			if observation.Target == name {
				message.Observations = append(message.Observations, o.toWire(observation))
			}
		}
	}
	return marshal(message)
}

func (o *observationExporter) toWire(observation detector.Observation) *peerv1.Observation {
	return &peerv1.Observation{
		Target:        observation.Target,
		Incarnation:   observation.Incarnation,
		Progress:      observation.Progress,
		State:         uint32(observation.State),
		Reason:        string(observation.Reason),
		AgeMs:         uint32(min(observation.Age, maxReportedAge) / time.Millisecond),
		Running:       uint32(observation.Running),
		Waiting:       uint32(observation.Waiting),
		WaitingTokens: uint32(observation.WaitingTokens),
		Loaded:        o.daemon.pools.Loaded(observation.Target),
	}
}

const (
	// maxReportedAge is the upper limit of the ages sent to peers; older observations are sent
	// with this age.
	maxReportedAge = time.Hour
	// maxLiveEvidenceAge is how old a peer's observation of a live target may be to count as
	// evidence that the target has not crashed.
	maxLiveEvidenceAge = time.Second
)

func (d *Daemon) importObservations(_ gossiper.Member, data []byte) {
	var message peerv1.Observations
	if err := proto.Unmarshal(data, &message); err != nil {
		return
	}
	observations := make([]detector.Observation, 0, len(message.GetObservations()))
	for _, wire := range message.GetObservations() {
		age := time.Duration(wire.GetAgeMs()) * time.Millisecond
		observations = append(observations, detector.Observation{
			Target:        wire.GetTarget(),
			Incarnation:   wire.GetIncarnation(),
			Progress:      wire.GetProgress(),
			State:         detector.State(wire.GetState()),
			Reason:        detector.Reason(wire.GetReason()),
			Age:           age,
			Running:       int(wire.GetRunning()),
			Waiting:       int(wire.GetWaiting()),
			WaitingTokens: int(wire.GetWaitingTokens()),
		})
		d.pools.ObservePeer(wire.GetTarget(), wire.GetLoaded(), router.Load{
			Incarnation:   wire.GetIncarnation(),
			Running:       int(wire.GetRunning()),
			Waiting:       int(wire.GetWaiting()),
			WaitingTokens: int(wire.GetWaitingTokens()),
		}, time.Now().Add(-age))
		if detector.State(wire.GetState()) == detector.Live && age < maxLiveEvidenceAge {
			d.observeAlive(context.Background(), wire.GetTarget(), wire.GetIncarnation())
		}
		d.engineReports.observePeer(wire.GetTarget(), wire.GetIncarnation(), wire.GetLoaded())
		d.warmUpTracker.observe(wire.GetTarget())
	}
	d.detector.Merge(observations)
}

// usageTopic exchanges the accounts' demand and loans, from which the peers compute their portions
// of the limits.
func (d *Daemon) usageTopic(name string, limiterOf func() *limiter.Limiter) gossiper.Topic {
	return gossiper.FuncTopic{
		TopicName: name,
		ExportFunc: func(maxBytes int) []byte {
			return marshal(usagesToWire(limiterOf().Usage(), time.Now(), maxBytes))
		},
		ImportFunc: func(from gossiper.Member, data []byte) {
			var wire peerv1.Usages
			if err := proto.Unmarshal(data, &wire); err == nil {
				usages, reportedAt := usagesFromWire(&wire)
				limiterOf().ObservePeer(from.Name, usages, reportedAt)
			}
		},
	}
}

// usagesToWire encodes as many accounts as fit into maxBytes: first those with loans, then those with
// the largest demand (see limiter.SortByImportance). The peers assume that an omitted account neither
// needs nor lends capacity, so that omissions cannot make the daemons together exceed a limit.
func usagesToWire(usages []limiter.Usage, reportedAt time.Time, maxBytes int) *peerv1.Usages {
	wire := &peerv1.Usages{ToldUnixMs: reportedAt.UnixMilli()}
	remaining := maxBytes - proto.Size(wire)
	for _, usage := range limiter.SortByImportance(usages) {
		next := usageToWire(usage)
		remaining -= proto.Size(&peerv1.Usages{Usages: []*peerv1.Usage{next}})
		if remaining < 0 {
			break
		}
		wire.Usages = append(wire.Usages, next)
	}
	return wire
}

func usageToWire(usage limiter.Usage) *peerv1.Usage {
	return &peerv1.Usage{
		Account:     usage.Account,
		Need:        usage.DemandFraction,
		Lent:        usage.Lent,
		UntilUnixMs: unixMilliseconds(usage.LoansEndAt),
	}
}

func usagesFromWire(wire *peerv1.Usages) (usages []limiter.Usage, reportedAt time.Time) {
	for _, usage := range wire.GetUsages() {
		usages = append(usages, limiter.Usage{
			Account:        usage.GetAccount(),
			DemandFraction: usage.GetNeed(),
			Lent:           usage.GetLent(),
			LoansEndAt:     time.UnixMilli(usage.GetUntilUnixMs()),
		})
	}
	return usages, time.UnixMilli(wire.GetToldUnixMs())
}

func unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func marshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}

func (d *Daemon) exportHotPrefixes(maxBytes int) []byte {
	wire := &peerv1.HotPrefixes{Models: make(map[string][]byte)}
	for _, hot := range d.pools.ExportHotPrefixes(min(maxBytes, max(minHotPrefixBytes, maxBytes/hotPrefixDivisor))) {
		wire.Models[hot.Model] = hot.Data
	}
	return marshal(wire)
}

func (d *Daemon) importHotPrefixes(from gossiper.Member, data []byte) {
	var wire peerv1.HotPrefixes
	if err := proto.Unmarshal(data, &wire); err != nil {
		return
	}
	var prefixes []pooler.HotPrefixes
	for model, hot := range wire.GetModels() {
		prefixes = append(prefixes, pooler.HotPrefixes{Model: model, Data: hot})
	}
	if err := d.pools.ImportHotPrefixes(prefixes); err != nil {
		d.observer.Log("pooler").Debug("pooler: cannot decode a peer's hot prefixes", "member", from.Name, "error", err)
	}
}
