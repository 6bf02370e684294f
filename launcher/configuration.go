package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const configurationTemplate = `{
  "accounts": [
    {"name": "demo", "labels": {"tier": "gold"}, "key_digests": [%q]},
    {"name": "other", "labels": {"tier": "silver"}, "key_digests": [%q]},
  ],
  "models": [
    {"name": "demo-model", "default_version": "demo-v1", "block_tokens": 2048, "max_context_tokens": 131072},
  ],
  "versions": [
    {"name": "demo-v1", "model": "demo-model", "weights": %q},
  ],
  "targets": [
%s  ],
  "services": [
    {
      "name": "orders",
      "operations": [
        {"name": "place", "method": "POST", "path": "/place", "idempotent": false, "timeout": "10s"},
        {"name": "stock", "method": "GET", "path": "/stock", "idempotent": true, "timeout": "5s"},
      ],
      "lookup_path": "/lookup",
    },
  ],
  // Both accounts may reach every target.
  "selectors": [
    {"name": "all-accounts", "priority": 0, "effect": "allow", "match": [{"on": "account", "key": "tier", "in": ["gold", "silver"]}]},
  ],
}
`

// configuration returns the configuration file of the fleet, in the form that operators apply.
func (f *Fleet) configuration() string {
	var targets strings.Builder
	for i, engine := range f.Engines {
		fmt.Fprintf(&targets, "    {\"name\": \"engine-%d\", \"kind\": \"engine\", \"address\": %q, \"data_centre\": %q, \"model\": \"demo-model\", \"slots\": 8},\n",
			i+1, engine.Address(), dataCentre)
	}
	fmt.Fprintf(&targets, "    {\"name\": \"orders-1\", \"kind\": \"service\", \"address\": %q, \"data_centre\": %q, \"service\": \"orders\", \"slots\": 64},\n",
		f.Service.Address(), dataCentre)
	return fmt.Sprintf(configurationTemplate, digest(DemoKey), digest(OtherKey), weights, targets.String())
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
