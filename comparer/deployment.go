package comparer

import (
	"fmt"
	"time"
)

// Level describes one level of the nested prefixes of an account's prompts.
type Level struct {
	// Count is the number of prefixes of this level in each prefix of the level above. On the first level below the
	// account it is the number in the largest account; smaller accounts have fewer, in proportion to their load, but at
	// least two.
	Count int
	// MinBlocks and MaxBlocks bound the size of one prefix in cache blocks.
	MinBlocks, MaxBlocks int
}

// Deployment describes the fleet and the load of one installation.
type Deployment struct {
	Name        string
	Targets     int
	DataCentres int
	Daemons     int
	// Slots is the number of calls that an engine runs at the same time, CacheBlocks the capacity of its cache and
	// BlockTokens the size of a cache block.
	Slots       int
	CacheBlocks int
	BlockTokens int
	// DataCentreOneWayDelay is the one-way network delay between two data centres, and CallerOneWayDelay that between
	// callers and daemons.
	DataCentreOneWayDelay, CallerOneWayDelay time.Duration
	// AccountShares are the relative loads of the client accounts.
	AccountShares []float64
	// AccountPrefixBlocks is the size of the prefix that all prompts of a client account share. Groups and Documents
	// are the levels below it: a document extends the prefix of a group, which extends that of the account.
	AccountPrefixBlocks int
	Groups              Level
	Documents           Level
	// DeferrableFraction is the fraction of the calls that are deferrable.
	DeferrableFraction float64
	// MinDeferrableBlocks and MaxInteractiveBlocks select the documents of each class by their number of blocks below
	// the group's prefix: deferrable calls use documents with at least MinDeferrableBlocks, interactive calls those
	// with at most MaxInteractiveBlocks.
	MinDeferrableBlocks  int
	MaxInteractiveBlocks int
	// InteractiveTimeout and DeferrableTimeout are the times from the due time of a call to its deadline, by class.
	InteractiveTimeout, DeferrableTimeout time.Duration
	// AnswerTokens is the mean length of an answer.
	AnswerTokens int
	// WaitWeight and RecomputationWeight are the weights of waiting and recomputation in the router's cost function.
	WaitWeight, RecomputationWeight float64
	// IdleLoad is the load, as a fraction of the mean load, below which a target counts as idle.
	IdleLoad float64
	// OracleRecomputationWeight is the weight of recomputation in the oracle's cost function, in which waiting weighs
	// one. The oracle knows the waits exactly, so a lower weight suffices to keep the calls of a prefix on one engine.
	OracleRecomputationWeight float64
}

// blockTokens is the size of a cache block of the engines.
const blockTokens = 2048

// accountShares returns the relative loads of eight client accounts, a few of which make up most of the load.
func accountShares() []float64 {
	return []float64{0.30, 0.24, 0.16, 0.10, 0.08, 0.06, 0.04, 0.02}
}

// Kiyome returns the deployment of Kawaya Kiyome Works, which gives the time to first token the highest weight.
func Kiyome() Deployment {
	return Deployment{
		Name:                      "kiyome",
		Targets:                   12,
		DataCentres:               3,
		Daemons:                   8,
		Slots:                     8,
		CacheBlocks:               96,
		BlockTokens:               blockTokens,
		DataCentreOneWayDelay:     500 * time.Microsecond,
		CallerOneWayDelay:         time.Millisecond,
		AccountShares:             accountShares(),
		AccountPrefixBlocks:       2,
		Groups:                    Level{Count: 10, MinBlocks: 1, MaxBlocks: 3},
		Documents:                 Level{Count: 16, MinBlocks: 1, MaxBlocks: 4},
		DeferrableFraction:        0.2,
		MinDeferrableBlocks:       2,
		MaxInteractiveBlocks:      4,
		InteractiveTimeout:        20 * time.Second,
		DeferrableTimeout:         2 * time.Minute,
		AnswerTokens:              60,
		WaitWeight:                1,
		RecomputationWeight:       2,
		IdleLoad:                  0.7,
		OracleRecomputationWeight: 0.5,
	}
}

// Recife returns the deployment of Companhia Municipal de Rodas do Recife, which gives recomputation and the hit rate
// the highest weight.
func Recife() Deployment {
	return Deployment{
		Name:                      "recife",
		Targets:                   18,
		DataCentres:               3,
		Daemons:                   8,
		Slots:                     8,
		CacheBlocks:               192,
		BlockTokens:               blockTokens,
		DataCentreOneWayDelay:     1500 * time.Microsecond,
		CallerOneWayDelay:         time.Millisecond,
		AccountShares:             accountShares(),
		AccountPrefixBlocks:       2,
		Groups:                    Level{Count: 8, MinBlocks: 1, MaxBlocks: 3},
		Documents:                 Level{Count: 14, MinBlocks: 2, MaxBlocks: 24},
		DeferrableFraction:        0.4,
		MinDeferrableBlocks:       10,
		MaxInteractiveBlocks:      16,
		InteractiveTimeout:        30 * time.Second,
		DeferrableTimeout:         5 * time.Minute,
		AnswerTokens:              80,
		WaitWeight:                1,
		RecomputationWeight:       6,
		IdleLoad:                  0.35,
		OracleRecomputationWeight: 2,
	}
}

// DeploymentByName returns the deployment with the given name, or an error if there is none.
func DeploymentByName(name string) (deployment Deployment, err error) {
	defer Error.WrapP(&err)
	for _, known := range []Deployment{Kiyome(), Recife()} {
		if known.Name == name {
			return known, nil
		}
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q, expected kiyome or recife", name)
}

func (d Deployment) check() error {
	if d.Targets < 1 || d.Daemons < 1 || len(d.AccountShares) == 0 {
		return fmt.Errorf("deployment %q has no targets, daemons or accounts", d.Name)
	}
	return nil
}
