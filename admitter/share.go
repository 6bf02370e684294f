package admitter

import (
	"cmp"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Demand is the work that one account demands, and the weight of its share.
type Demand struct {
	Work   float64
	Weight float64
}

// FairShares returns the work of each demand that is within the weighted max-min fair shares of a capacity: no share can
// grow unless that of a demand shrinks whose share is not larger in proportion to its weight. Weights must be positive.
func FairShares(capacity float64, demands []Demand) (shares []float64) {
	shares = make([]float64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i, demand := range demands {
		order[i] = i
		weights += demand.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].Work*demands[b].Weight, demands[b].Work*demands[a].Weight)
	})
	for _, i := range order {
		demand := demands[i]
		shares[i] = min(demand.Work, max(capacity, 0)*demand.Weight/weights)
		capacity -= shares[i]
		weights -= demand.Weight
	}
	return shares
}

// Ratios are the fractions of an account's requests that are admitted, by urgency.
type Ratios [placer.Urgencies]float64

// minRatio is the smallest fraction of the requests of any urgency that is admitted, so that none starves.
const minRatio = 0.05

// ratiosOf returns the ratios with which the admitted work is about the share. The most urgent work is admitted first.
func ratiosOf(share float64, work [placer.Urgencies]float64) (ratios Ratios) {
	for urgency, demanded := range work {
		ratios[urgency] = 1
		if demanded > share {
			ratios[urgency] = max(share/demanded, minRatio)
		}
		share = max(share-demanded, 0)
	}
	return ratios
}
