package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// revokeTime is revokeMs of the bounds, and revokeSlack what the case waits beyond it.
	revokeTime  = 5 * time.Second
	revokeSlack = time.Second
	// strangeKey is a key that no configuration ever holds.
	strangeKey = "key-that-nobody-holds"
	keyCalls   = 10
)

// lastTenant lets the operator take the last tenant away, and with it the last key. Then clients go on with that key, and one comes with a
// key that no configuration ever held.
func lastTenant(w *world, t trouble) (breaches []string, err error) {
	w.putConfiguration(3)
	r, err := w.addReplica(replicaSettings{id: "o-1", service: "orders", zone: "zone-1", software: "v1", slots: 64, firstAfter: 15 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	var daemons []*daemon
	for i := range 2 {
		d, err := w.addDaemon(fmt.Sprint("front-", i+1), fmt.Sprint("zone-", i+1), memoryMB)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
		if err := d.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	if n := w.callWithKey(daemons, "before", apiKey); n != keyCalls {
		return nil, fmt.Errorf("only %d of %d requests were served before", n, keyCalls)
	}
	switch {
	case t.cut:
		w.putTenants(7)
	case t.kill: // The tenant stays and loses its keys.
		w.putTenants(7, tenant{"tenant-1", []string{}})
	default:
		w.putTenants(7, tenant{"tenant-1", []string{apiKey}})
	}
	acknowledged := time.Now()
	time.Sleep(revokeTime + revokeSlack)
	w.note("%.1f s after the acknowledgement", time.Since(acknowledged).Seconds())
	w.callWithKey(daemons, "after", apiKey)
	w.callWithKey(daemons, "strange", strangeKey)
	revoked, strange := 0, 0
	for _, ran := range r.runs() {
		switch {
		case len(ran.id) > 5 && ran.id[:5] == "after":
			revoked++
			w.note("%s ran at %s, X-Tenant %q", ran.id, ran.replica, ran.tenant)
		case len(ran.id) > 7 && ran.id[:7] == "strange":
			strange++
			w.note("%s ran at %s, X-Tenant %q", ran.id, ran.replica, ran.tenant)
		}
	}
	w.note("%d requests ran with the key %q, %d with a key that no configuration ever held", revoked, apiKey, strange)
	if revoked > 0 && (t.cut || t.kill) {
		breaches = append(breaches, fmt.Sprintf("CONFIG: %d requests ran that were sent later than revokeMs after the acknowledgement of a configuration that took their key away", revoked))
	}
	if strange > 0 {
		breaches = append(breaches, fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held", strange))
	}
	return breaches, nil
}

// callWithKey sends requests with a key to the daemons in turn, and returns how many were served.
func (w *world) callWithKey(daemons []*daemon, name, key string) (served int) {
	for i := range keyCalls {
		c := call{id: fmt.Sprintf("%s-%d", name, i), method: "POST", path: "/order/x", body: "order", deadline: 2 * time.Second, key: key}
		a := send(context.Background(), daemons[i%len(daemons)].callers, c)
		w.note("%s with key %q at %s: status %d, error %v", c.id, key, daemons[i%len(daemons)].name, a.status, a.err)
		if a.status == 200 {
			served++
		}
	}
	return served
}
