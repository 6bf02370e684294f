package operator

import (
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

func memberToWire(member Member) *operatorv1.Member {
	return &operatorv1.Member{
		Name:       member.Name,
		DataCentre: member.DataCentre,
		Address:    member.Address.String(),
		Revision:   uint64(member.Revision),
		State:      string(member.State),
		Reason:     member.Reason,
	}
}

func memberFromWire(wire *operatorv1.Member) Member {
	// An address that cannot be parsed becomes the zero AddrPort.
	address, _ := netip.ParseAddrPort(wire.GetAddress())
	return Member{
		Name:       wire.GetName(),
		DataCentre: wire.GetDataCentre(),
		Address:    address,
		Revision:   registrar.Revision(wire.GetRevision()),
		State:      MemberState(wire.GetState()),
		Reason:     wire.GetReason(),
	}
}

func alarmToWire(alarm configurator.Alarm) *operatorv1.Alarm {
	return &operatorv1.Alarm{
		Kind:        string(alarm.Kind),
		Message:     alarm.Err.Error(),
		FirstUnixMs: alarm.First.UnixMilli(),
		LastUnixMs:  alarm.Last.UnixMilli(),
		Active:      alarm.Active,
	}
}

func alarmFromWire(wire *operatorv1.Alarm) Alarm {
	return Alarm{
		Kind:    wire.GetKind(),
		Message: wire.GetMessage(),
		First:   time.UnixMilli(wire.GetFirstUnixMs()).UTC(),
		Last:    time.UnixMilli(wire.GetLastUnixMs()).UTC(),
		Active:  wire.GetActive(),
	}
}

func targetToWire(target *registrar.Target, health Health) *operatorv1.TargetStatus {
	return &operatorv1.TargetStatus{
		Name:        target.Name,
		Kind:        string(target.Kind),
		DataCentre:  target.DataCentre,
		Usable:      health.Usable,
		Reason:      health.Reason,
		Incarnation: health.Incarnation,
		Running:     int64(health.Running),
		Waiting:     int64(health.Waiting),
		Slots:       int64(target.Slots),
	}
}

func targetFromWire(wire *operatorv1.TargetStatus) TargetStatus {
	return TargetStatus{
		Name:       wire.GetName(),
		Kind:       registrar.TargetKind(wire.GetKind()),
		DataCentre: wire.GetDataCentre(),
		Slots:      int(wire.GetSlots()),
		Health: Health{
			Usable:      wire.GetUsable(),
			Reason:      wire.GetReason(),
			Incarnation: wire.GetIncarnation(),
			Running:     int(wire.GetRunning()),
			Waiting:     int(wire.GetWaiting()),
		},
	}
}

func statusFromWire(wire *operatorv1.StatusResponse) Status {
	return Status{
		Daemon:     wire.GetDaemon(),
		DataCentre: wire.GetDataCentre(),
		Revision:   registrar.Revision(wire.GetRevision()),
		NotReady:   wire.GetNotReady(),
		Alarms:     mapList(wire.GetAlarms(), alarmFromWire),
		Members:    mapList(wire.GetMembers(), memberFromWire),
		Targets:    mapList(wire.GetTargets(), targetFromWire),
	}
}

func explanationFromWire(wire *operatorv1.ExplainResponse) Explanation {
	return Explanation{
		Revision: registrar.Revision(wire.GetRevision()),
		Version:  wire.GetVersion(),
		Chosen:   wire.GetChosen(),
		Reason:   wire.GetReason(),
		Targets:  mapList(wire.GetTargets(), targetExplanationFromWire),
	}
}

func targetExplanationFromWire(wire *operatorv1.TargetExplanation) TargetExplanation {
	return TargetExplanation{
		Target:     wire.GetTarget(),
		DataCentre: wire.GetDataCentre(),
		Allowed:    wire.GetAllowed(),
		Usable:     wire.GetUsable(),
		Chosen:     wire.GetChosen(),
		Reasons:    wire.GetReasons(),
		Selector:   wire.GetSelector(),
		Selectors: mapList(wire.GetSelectors(), func(fact *operatorv1.SelectorFact) SelectorFact {
			return SelectorFact{
				Selector: fact.GetSelector(),
				Effect:   registrar.Effect(fact.GetEffect()),
				Priority: int(fact.GetPriority()),
				Matched:  fact.GetMatched(),
				Unmet:    fact.GetUnmet(),
			}
		}),
	}
}

func reportToWire(report reporter.Report) *operatorv1.ReportResponse {
	return &operatorv1.ReportResponse{
		Entries: mapList(report.Entries, entryToWire),
		Gaps:    mapList(report.Gaps, gapToWire),
	}
}

func entryToWire(entry reporter.Entry) *operatorv1.Entry {
	return &operatorv1.Entry{
		TimeUnixMs:  entry.Time.UnixMilli(),
		UntilUnixMs: entry.Until.UnixMilli(),
		Daemon:      entry.Daemon,
		DataCentre:  entry.DataCentre,
		Account:     entry.Account,
		Kind:        string(entry.Kind),
		Code:        entry.Code,
		Run:         string(entry.Run),
		Target:      entry.Subject,
		Count:       int64(entry.Count),
		Open:        entry.Open,
	}
}

func entryFromWire(wire *operatorv1.Entry) reporter.Entry {
	return reporter.Entry{
		Time:       time.UnixMilli(wire.GetTimeUnixMs()).UTC(),
		Until:      time.UnixMilli(wire.GetUntilUnixMs()).UTC(),
		Daemon:     wire.GetDaemon(),
		DataCentre: wire.GetDataCentre(),
		Account:    wire.GetAccount(),
		Kind:       reporter.Kind(wire.GetKind()),
		Code:       wire.GetCode(),
		Run:        reporter.Run(wire.GetRun()),
		Subject:    wire.GetTarget(),
		Count:      int(wire.GetCount()),
		Open:       wire.GetOpen(),
	}
}

func gapToWire(gap reporter.Gap) *operatorv1.Gap {
	wire := &operatorv1.Gap{
		Daemon:      gap.Daemon,
		DataCentre:  gap.DataCentre,
		Incarnation: gap.Incarnation,
		FromUnixMs:  gap.From.UnixMilli(),
		Batches:     gap.Batches,
	}
	if !gap.To.IsZero() {
		wire.ToUnixMs = gap.To.UnixMilli()
	}
	return wire
}

func gapFromWire(wire *operatorv1.Gap) reporter.Gap {
	gap := reporter.Gap{
		Daemon:      wire.GetDaemon(),
		DataCentre:  wire.GetDataCentre(),
		Incarnation: wire.GetIncarnation(),
		From:        time.UnixMilli(wire.GetFromUnixMs()).UTC(),
		Batches:     wire.GetBatches(),
	}
	if wire.GetToUnixMs() != 0 {
		gap.To = time.UnixMilli(wire.GetToUnixMs()).UTC()
	}
	return gap
}

func mapList[A, B any](list []A, convert func(A) B) []B {
	var mapped []B
	for _, element := range list {
		mapped = append(mapped, convert(element))
	}
	return mapped
}
