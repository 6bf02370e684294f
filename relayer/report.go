package relayer

import (
	"net/netip"
	"time"
)

// report logs the request and passes its outcome to Observe.
func (r *relayedRequest) report() {
	total := time.Since(r.call.ArrivedAt)
	outcome := Outcome{
		Result: r.result, NotRun: r.runs == 0, Attempts: r.attempts, TimeToFirstEvent: r.timeToFirstEvent, Total: total,
		PrefillTokens: r.choice.PrefillTokens, SharedRead: r.choice.SharedRead, ReadCause: r.choice.ReadCause, Prompt: r.call.Prompt,
	}
	var version int64
	if catalog := r.relayer.settings.Configuration.Catalog(); catalog != nil {
		version = catalog.Version()
	}
	route := ""
	if r.route != nil {
		route, outcome.CallKind = r.route.Name, r.route.CallKind
	}
	if !r.call.Delegated { // The daemon that passed it on counts it.
		r.relayer.settings.Observe(outcome)
	}
	r.relayer.settings.Logger.Info("request",
		"id", r.call.ID, "result", r.result, "status", r.status, "route", route, "service", r.service,
		"target", r.target, "software", r.choice.Target.Software, "weights", r.version, "expected_ms", r.choice.Expected.Milliseconds(),
		"read", r.choice.PrefillTokens, "ahead", r.choice.QueuedPrefillTokens, "in_hand", r.choice.Requests,
		"prompt", lastSharedPart(r.call.Prompt), "shared_read", r.choice.SharedRead, "shared_read_cause", r.choice.ReadCause, "wall", r.cacheNamespace, "fetch_from", addressText(r.choice.FetchFrom), "save", r.choice.SaveTo.IsValid(), "sends", r.attempts, "runs", r.runs,
		"first_ms", r.timeToFirstEvent.Milliseconds(), "total_ms", total.Milliseconds(),
		"configuration", version, "contact_age_ms", r.relayer.settings.Configuration.ContactAge().Milliseconds(),
		"rate_limit", r.rateLimit, "passed_to", r.delegatedTo, "passed_on", r.call.Delegated, "crashing", r.crashingName(), "cause", errorText(r.cause))
}

// lastSharedPart returns the id of the last part that other requests share, or the empty string if the prompt has only
// the part that no other request shares.
func lastSharedPart(prompt Prompt) string {
	if len(prompt.Parts) < 2 {
		return ""
	}
	return prompt.Parts[len(prompt.Parts)-2].ID
}

func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
