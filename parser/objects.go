package parser

import (
	"math"
	"time"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	minTimeout = time.Millisecond
	maxTimeout = 24 * time.Hour
	// maxNumber bounds rates, the accounts' weights in fair queueing, and routing weights.
	maxNumber = 1e12
	maxCount  = math.MaxInt32
)

func readLabels(object *locator.Object) registrar.Labels {
	return object.TextMap("labels")
}

func readLimits(parent *locator.Object) registrar.Limits {
	object := parent.Object("limits")
	limits := registrar.Limits{
		RequestsPerSecond: object.Float("requests_per_second", 0, maxNumber),
		TokensPerSecond:   object.Float("tokens_per_second", 0, maxNumber),
		MaxConcurrent:     object.Int("max_concurrent", 0, maxCount),
		FairShareWeight:   object.Float("share", 0, maxNumber),
	}
	object.ReportUnknown()
	return limits
}

func readAccount(object *locator.Object) registrar.Account {
	return registrar.Account{
		Name:       object.Text("name", locator.Required),
		Labels:     readLabels(object),
		KeyDigests: readDigests(object),
		Limits:     readLimits(object),
	}
}

func readDigests(object *locator.Object) []registrar.KeyDigest {
	var digests []registrar.KeyDigest
	for _, node := range object.List("key_digests") {
		text, ok := node.Text()
		if !ok {
			continue
		}
		digest, ok := encoder.ParseDigest(text)
		if !ok {
			node.FailHidden(`"sha256:" and the 64 hexadecimal digits of the key's SHA-256 digest`)
			continue
		}
		digests = append(digests, digest)
	}
	return digests
}

func readModel(object *locator.Object) registrar.Model {
	return registrar.Model{
		Name:             object.Text("name", locator.Required),
		Labels:           readLabels(object),
		DefaultVersion:   object.Text("default_version", locator.Optional),
		BlockTokens:      object.Int("block_tokens", 1, maxCount),
		MaxContextTokens: object.Int("max_context_tokens", 1, maxCount),
		Routing:          readRouting(object),
	}
}

func readRouting(parent *locator.Object) registrar.RoutingWeights {
	object := parent.Object("routing")
	weights := registrar.RoutingWeights{
		Wait:          object.Float("wait", 0, maxNumber),
		Recomputation: object.Float("recomputation", 0, maxNumber),
		IdleLoad:      object.Float("idle_load", 0, 1),
	}
	object.ReportUnknown()
	return weights
}

func readVersion(object *locator.Object) registrar.Version {
	return registrar.Version{
		Name:    object.Text("name", locator.Required),
		Labels:  readLabels(object),
		Model:   object.Text("model", locator.Required),
		Weights: object.Text("weights", locator.Required),
		Adapter: object.Text("adapter", locator.Optional),
	}
}

func readTarget(object *locator.Object) registrar.Target {
	kind := object.Choice("kind", locator.Required,
		string(registrar.TargetEngine), string(registrar.TargetService), string(registrar.TargetCache))
	return registrar.Target{
		Name:          object.Text("name", locator.Required),
		Labels:        readLabels(object),
		Kind:          registrar.TargetKind(kind),
		Address:       object.AddrPort("address"),
		DataCentre:    object.Text("data_centre", locator.Required),
		Model:         object.Text("model", locator.Optional),
		Service:       object.Text("service", locator.Optional),
		ChecksFencing: object.Bool("checks_fencing"),
		Slots:         object.Int("slots", 1, maxCount),
	}
}

func readService(object *locator.Object) registrar.Service {
	return registrar.Service{
		Name:       object.Text("name", locator.Required),
		Labels:     readLabels(object),
		Operations: readAll(object, "operations", readOperation),
		LookupPath: object.Text("lookup_path", locator.Optional),
	}
}

func readOperation(object *locator.Object) registrar.Operation {
	return registrar.Operation{
		Name:       object.Text("name", locator.Required),
		Method:     object.Text("method", locator.Required),
		Path:       object.Text("path", locator.Required),
		Idempotent: object.Bool("idempotent"),
		Timeout:    object.Duration("timeout", minTimeout, maxTimeout),
	}
}
