package sizer_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/sizer"
)

// TestMeasureCountsEachKindOfTraffic checks that each counter increases in a small fleet.
func TestMeasureCountsEachKindOfTraffic(t *testing.T) {
	row, err := sizer.Measure(t.Context(), sizer.Settings{
		Daemons: 2, Targets: 2, ChangesPerSecond: 1, SettleTime: time.Second, Duration: 4 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if row.DaemonBodyBytes <= 0 || row.DaemonBytes <= 0 {
		t.Errorf("%v bytes per second of bodies between daemons, %v on the wire", row.DaemonBodyBytes, row.DaemonBytes)
	}
	if row.TargetBytes <= 0 || row.PlatformBytes <= 0 || row.PlatformCalls["watch"] <= 0 {
		t.Errorf("no traffic to targets or to the platform in %+v", row)
	}
	if row.Changes == 0 || row.HeapBytes <= 0 || row.Goroutines <= 0 {
		t.Errorf("no changes, heap or goroutines in %+v", row)
	}
}
