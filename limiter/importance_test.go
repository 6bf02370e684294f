package limiter_test

import (
	"slices"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/limiter"
)

func TestSortByImportanceOrdersLoansThenLargeDemands(t *testing.T) {
	usages := []limiter.Usage{
		{Account: "small", DemandFraction: 0.1},
		{Account: "large", DemandFraction: 0.9},
		{Account: "lender", DemandFraction: 0, Lent: map[string]float64{"daemon-2": 0.2}},
		{Account: "middle", DemandFraction: 0.5},
	}
	var names []string
	for _, usage := range limiter.SortByImportance(usages) {
		names = append(names, usage.Account)
	}
	if want := []string{"lender", "large", "middle", "small"}; !slices.Equal(names, want) {
		t.Errorf("order is %v, want %v", names, want)
	}
	if usages[0].Account != "small" {
		t.Error("the usages of the caller were reordered")
	}
}
