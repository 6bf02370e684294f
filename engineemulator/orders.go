package engineemulator

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"
)

// Kinds of orders.
const (
	orderLoadVersion = "load_version"
	orderLoadAdapter = "load_adapter"
	orderSetRole     = "set_role"
)

// States of an order.
const (
	stateLoading = "loading"
	stateDone    = "done"
)

// wireOrder is the body of POST /v1/orders.
type wireOrder struct {
	Kind    string `json:"kind"`
	Weights string `json:"weights"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fencing uint64 `json:"fencing"`
}

type wireOrderState struct {
	State string `json:"state"`
}

type wireStaleFencing struct {
	Error   string `json:"error"`
	Fencing uint64 `json:"fencing"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	var order wireOrder
	body := http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)
	if err := json.NewDecoder(body).Decode(&order); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return
	}
	state, highest, refused := e.executeOrder(inc, order)
	switch {
	case refused != nil:
		writeRefusal(w, refused)
	case state == "":
		writeJSON(w, http.StatusConflict, wireStaleFencing{Error: "stale_fencing", Fencing: highest})
	default:
		writeJSON(w, http.StatusOK, wireOrderState{State: state})
	}
}

// executeOrder executes an order. It returns an empty state and the highest fencing token if
// the fencing token of the order is stale.
func (e *Engine) executeOrder(inc *incarnation, order wireOrder) (state string, highest uint64, refused *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.highestFencing {
		e.counters.StaleOrders++
		if !e.settings.IgnoreFencing {
			return "", e.highestFencing, nil
		}
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.counters.Orders++
	switch order.Kind {
	case orderLoadVersion:
		return e.startLoad(inc, order.Weights, e.weightsLoaded(order.Weights), e.addWeights), e.highestFencing, nil
	case orderLoadAdapter:
		return e.startLoad(inc, order.Adapter, e.adapters[order.Adapter], e.addAdapter), e.highestFencing, nil
	case orderSetRole:
		e.role = order.Role
		e.recordLoad(inc)
		return stateDone, e.highestFencing, nil
	}
	return "", 0, &refusal{http.StatusBadRequest, "malformed", "unknown kind of order"}
}

// startLoad starts to load weights or an adapter from the weight store, unless they are
// present or already loading. It calls add once the load is complete. The caller holds mu.
func (e *Engine) startLoad(inc *incarnation, name string, present bool, add func(string)) string {
	if present {
		return stateDone
	}
	if inc.loading[name] || e.closed {
		return stateLoading
	}
	inc.loading[name] = true
	e.workers.Go(func() { e.fetchFromStore(inc, name, add) })
	return stateLoading
}

// fetchFromStore waits for the weight store and then calls add. The load is cancelled, and its
// result discarded, if the incarnation ends first.
func (e *Engine) fetchFromStore(inc *incarnation, name string, add func(string)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.workers.Go(func() {
		select {
		case <-inc.done:
			cancel()
		case <-ctx.Done():
		}
	})
	err := e.settings.WeightStore.Load(ctx, name)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(inc.loading, name)
	if err != nil || e.incarnation != inc {
		return
	}
	add(name)
	e.counters.Loads++
	inc.progress++
	e.recordLoad(inc)
}

// weightsLoaded reports whether the weights are loaded. The caller holds mu.
func (e *Engine) weightsLoaded(weights string) bool { return slices.Contains(e.weights, weights) }

// addWeights adds weights and unloads the oldest beyond Settings.MaxWeights. The caller holds
// mu.
func (e *Engine) addWeights(name string) {
	kept := append(slices.Clone(e.weights), name)
	if extra := len(kept) - e.settings.MaxWeights; extra > 0 {
		kept = kept[extra:]
	}
	e.weights = kept
}

// addAdapter adds an adapter to a copy of the set. The caller holds mu.
func (e *Engine) addAdapter(name string) {
	e.adapters = maps.Clone(e.adapters)
	e.adapters[name] = true
}

// newestWeights returns the weights that were loaded last.
func (e *Engine) newestWeights() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.weights) == 0 {
		return ""
	}
	return e.weights[len(e.weights)-1]
}

func sortedNames(set map[string]bool) []string {
	names := slices.AppendSeq(make([]string, 0, len(set)), maps.Keys(set))
	slices.Sort(names)
	return names
}
