package sizer

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/launcher"
)

// The metrics that are read from each daemon, and their path.
const (
	bodyBytesMetric = "rill_control_bytes_total"
	wireBytesMetric = "rill_wire_bytes_total"
	metricsPath     = "/metrics"
)

// sample contains the values of the counters at one time, summed over the daemons.
type sample struct {
	at            time.Time
	processorTime time.Duration
	bodyBytes     float64
	wireBytes     map[string]float64
	platformCalls map[string]float64
	goroutines    int
	heapBytes     uint64
}

// takeSample reads the counters. It reads the processor time last, so that the processor time between two samples
// includes the cost of taking the second sample but not the first.
func takeSample(ctx context.Context, fleet *launcher.Fleet) (s sample, err error) {
	s = sample{wireBytes: make(map[string]float64), platformCalls: make(map[string]float64)}
	s.goroutines = runtime.NumGoroutine()
	s.heapBytes = readHeapBytes()
	for _, url := range fleet.URLs() {
		if err := s.scrape(ctx, url+metricsPath); err != nil {
			return sample{}, err
		}
	}
	for call, count := range fleet.Platform.Calls() {
		s.platformCalls[string(call)] = float64(count)
	}
	s.processorTime = readProcessorTime()
	s.at = time.Now()
	return s, nil
}

func (s *sample) scrape(ctx context.Context, url string) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("metrics endpoint returned status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		s.addMetric(lines.Text())
	}
	return lines.Err()
}

// addMetric adds the value in one line of the metrics endpoint, if the line is one of a counter in sample.
func (s *sample) addMetric(line string) {
	end := strings.LastIndexByte(line, ' ')
	if end < 0 {
		return
	}
	value, err := strconv.ParseFloat(line[end+1:], 64)
	if err != nil {
		return
	}
	switch {
	case strings.HasPrefix(line, bodyBytesMetric):
		s.bodyBytes += value
	case strings.HasPrefix(line, wireBytesMetric):
		s.wireBytes[labelValue(line, "to")] += value
	}
}

func labelValue(line, name string) string {
	_, rest, _ := strings.Cut(line, name+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// measurementSince returns the resource use of a daemon between two samples. The processor time of the idle process in each
// second is subtracted.
func (s sample) measurementSince(before sample, daemons int, idlePerSecond time.Duration) Measurement {
	seconds := s.at.Sub(before.at).Seconds()
	ratePerDaemon := func(now, previous float64) float64 { return (now - previous) / seconds / float64(daemons) }
	// Traffic between daemons is counted at the client only; the server has the same number of bytes.
	const sidesPerConnection = 2
	row := Measurement{
		Duration:        s.at.Sub(before.at),
		DaemonBodyBytes: sidesPerConnection * ratePerDaemon(s.bodyBytes, before.bodyBytes),
		DaemonBytes:     sidesPerConnection * ratePerDaemon(s.wireBytes["daemons"], before.wireBytes["daemons"]),
		TargetBytes:     ratePerDaemon(s.wireBytes["targets"], before.wireBytes["targets"]),
		PlatformBytes:   ratePerDaemon(s.wireBytes["platform"], before.wireBytes["platform"]),
		PlatformCalls:   make(map[string]float64),
		Goroutines:      float64(s.goroutines) / float64(daemons),
		HeapBytes:       float64(s.heapBytes) / float64(daemons),
	}
	for call, count := range s.platformCalls {
		row.PlatformCalls[call] = (count - before.platformCalls[call]) / seconds
	}
	row.ProcessorShare = ((s.processorTime-before.processorTime).Seconds()/seconds - idlePerSecond.Seconds()) / float64(daemons)
	return row
}
