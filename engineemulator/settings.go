package engineemulator

import (
	"cmp"
	"log/slog"
	"time"
)

// Defaults of Settings.
const (
	DefaultPrefillTokensPerSecond = 20_000
	DefaultPrefillChunkTokens     = 2_048
	DefaultDecodeStep             = 10 * time.Millisecond
	DefaultBatchSlowdown          = 0.05
	DefaultSlots                  = 8
	DefaultMaxWaiting             = 256
	DefaultCacheBlocks            = 256
	DefaultBlockTokens            = 2_048
	DefaultMaxTokens              = 16
	DefaultTokensPerEvent         = 4
	DefaultEndedRunRetention      = 30 * time.Second
	DefaultCacheEventsKept        = 4_096
	DefaultWeightLoadTime         = time.Second
	DefaultSlowFactor             = 5.0
	DefaultBlockBytes             = 1_024
	DefaultMaxBodyBytes           = 16 << 20
	DefaultMaxWeights             = 2

	rolePrefillAndDecode = "mixed"
)

// Settings configure an Engine. A zero value selects the default.
type Settings struct {
	// Weights and Adapters are loaded at the start of each incarnation.
	Weights  []string
	Adapters []string
	// Role is the role in the load report until an order changes it.
	Role string

	// PrefillTokensPerSecond is the prefill rate of prompt tokens that are not cached.
	PrefillTokensPerSecond float64
	// PrefillChunkTokens bounds the prompt tokens that one scheduler step prefills.
	PrefillChunkTokens int
	// DecodeStep is the duration of a step that decodes one token of a single run.
	DecodeStep time.Duration
	// BatchSlowdown is the fraction of DecodeStep that each further run adds to a step.
	BatchSlowdown float64
	// Slots is the maximum number of runs in a batch.
	Slots int
	// MaxWaiting is the maximum length of the queue; further requests are refused with 429.
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache in blocks, BlockTokens the size of a
	// block.
	CacheBlocks int
	BlockTokens int
	// MaxTokens is the maximum length of an answer if the request has no max_tokens.
	MaxTokens int
	// AnswerTokens is the length after which an answer finishes with the reason "stop". Zero
	// means that only max_tokens ends an answer.
	AnswerTokens int
	// TokensPerEvent is the maximum number of tokens in one stream event.
	TokensPerEvent int
	// EndedRunRetention is how long a run can be resumed after it has ended.
	EndedRunRetention time.Duration

	// LoadLag is the age of the values in load reports, except the progress counter.
	LoadLag time.Duration
	// CacheEventDelay is the delay between a change of the cache and the publication of its event.
	CacheEventDelay time.Duration
	// CacheEventGapOneIn drops a cache event with a probability of 1/n. Zero drops none.
	CacheEventGapOneIn int
	// CacheEventsKept is the minimum number of past cache events that remain available.
	CacheEventsKept int

	// MaxWeights is how many weights stay loaded; loading more unloads the oldest.
	MaxWeights int
	// IgnoreFencing makes the engine execute orders with stale fencing tokens.
	IgnoreFencing bool
	// WeightStore loads weights and adapters. The default is a private WeightStore.
	WeightStore WeightLoader
	// BlockBytes is the size of an exported cache block.
	BlockBytes int

	// Faults are the initial faults.
	Faults Faults
	// RestartAfter is the delay after which a crashed engine restarts. Zero means that only
	// Restart starts it again.
	RestartAfter time.Duration
	// OnCrash is called after a crash; an emulator process uses it to exit.
	OnCrash func()
	// ComputedBlocks counts recomputed tokens over all engines that share it. The default is a
	// private BlockSet.
	ComputedBlocks *BlockSet
	// Seed seeds the random number generator of the faults, so that runs with the same seed
	// draw the same faults.
	Seed uint64
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Logger receives the log of the engine. The default discards it.
	Logger *slog.Logger
}

func (s Settings) withDefaults() Settings {
	s.Role = cmp.Or(s.Role, rolePrefillAndDecode)
	s.PrefillTokensPerSecond = cmp.Or(s.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	s.PrefillChunkTokens = cmp.Or(s.PrefillChunkTokens, DefaultPrefillChunkTokens)
	s.DecodeStep = cmp.Or(s.DecodeStep, DefaultDecodeStep)
	s.BatchSlowdown = cmp.Or(s.BatchSlowdown, DefaultBatchSlowdown)
	s.Slots = cmp.Or(s.Slots, DefaultSlots)
	s.MaxWaiting = cmp.Or(s.MaxWaiting, DefaultMaxWaiting)
	s.CacheBlocks = cmp.Or(s.CacheBlocks, DefaultCacheBlocks)
	s.BlockTokens = cmp.Or(s.BlockTokens, DefaultBlockTokens)
	s.MaxTokens = cmp.Or(s.MaxTokens, DefaultMaxTokens)
	s.TokensPerEvent = cmp.Or(s.TokensPerEvent, DefaultTokensPerEvent)
	s.EndedRunRetention = cmp.Or(s.EndedRunRetention, DefaultEndedRunRetention)
	s.CacheEventsKept = cmp.Or(s.CacheEventsKept, DefaultCacheEventsKept)
	s.BlockBytes = cmp.Or(s.BlockBytes, DefaultBlockBytes)
	s.MaxWeights = cmp.Or(s.MaxWeights, DefaultMaxWeights)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	if s.WeightStore == nil {
		s.WeightStore = NewWeightStore(WeightStoreSettings{})
	}
	if s.ComputedBlocks == nil {
		s.ComputedBlocks = NewBlockSet()
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	return s
}
