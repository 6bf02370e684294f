package loader_test

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/locator"
)

const minimalFile = `{"data_centre": "sapporo", "platform": ["127.0.0.1:7001"], "peers_listen": "127.0.0.1:7002"}`

const fullFile = `{
  // Every setting but the files.
  "name": "entry-1", "data_centre": "Jaboatão",
  "callers_listen": "0.0.0.0:80", "peers_listen": "0.0.0.0:81", "operators_listen": "0.0.0.0:82",
  "peers_advertise": "10.0.0.1:81", "platform": ["10.0.0.2:1", "10.0.0.3:1"], "seed_peers": ["10.0.0.4:81"],
  "operators_token_digest": "sha256:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
  "drain_bound": "90s", "first_configuration_file": "fleet.jsonc",
  "tls": {"peers_certificate_file": "p.pem", "peers_key_file": "k.pem", "authority_file": "a.pem"},
  "limits": {"max_body_bytes": 1000, "header_timeout": "1s"},
  "log": {"level": "warn", "parts": {"router": "debug"}, "format": "json"},
  "telemetry": {"otlp_endpoint": "http://127.0.0.1:4318", "sample_ratio": 0},
}`

func TestParseAppliesDefaults(t *testing.T) {
	settings, err := loader.Parse("f", []byte(minimalFile))
	if err != nil {
		t.Fatal(err)
	}
	if settings.PeersAdvertise.String() != "127.0.0.1:7002" {
		t.Errorf("peers_advertise: got %s", settings.PeersAdvertise)
	}
	if want := loader.DefaultSettings().Limits; settings.Limits != want {
		t.Errorf("limits: got %+v, want %+v", settings.Limits, want)
	}
}

func TestParseReadsEverySection(t *testing.T) {
	settings, err := loader.Parse("f", []byte(fullFile))
	if err != nil {
		t.Fatal(err)
	}
	if settings.DrainBound != 90*time.Second || settings.Limits.HeaderTimeout != time.Second || len(settings.Platform) != 2 {
		t.Errorf("got %+v", settings)
	}
	if settings.Log.Parts["router"] != slog.LevelDebug || settings.Log.Level != slog.LevelWarn || settings.Telemetry.SampleRatio != 0 {
		t.Errorf("got %+v and %+v", settings.Log, settings.Telemetry)
	}
}

func TestParseReportsFaults(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown", `"drain_bound"`, `"drain_bond"`, `f:7:3: found the unknown field "drain_bond"`},
		{"suggestion", `"drain_bound"`, `"drain_bond"`, `did you mean "drain_bound"?`},
		{"unknown in section", `"max_body_bytes"`, `"max_body"`, `f:9:14: limits: found the unknown field "max_body"`},
		{"unit", `"90s"`, `90`, `f:7:18: drain_bound: found 90, expected a duration with a unit`},
		{"data centre", `"Jaboatão"`, `"a/b"`, `f:3:37: data_centre: found "a/b"`},
		{"no platform", `["10.0.0.2:1", "10.0.0.3:1"]`, `[]`, `platform: found no address`},
		{"address", `"10.0.0.4:81"`, `"10.0.0.4"`, `seed_peers[0]: found "10.0.0.4", expected an IP address and a port`},
		{"shared port", `"0.0.0.0:81"`, `"0.0.0.0:80"`, `peers_listen: found the port of callers_listen`},
		{"unreachable", `"10.0.0.1:81"`, `"0.0.0.0:81"`, `peers_advertise: found no address that others can reach`},
		{"half a pair", `, "peers_key_file": "k.pem"`, ``, `tls.peers_certificate_file: found it without tls.peers_key_file`},
		{"token in place of its digest", `"sha256:0011`, `"tok`, `operators_token_digest: found another value, which is not shown`},
		{"level", `"debug"`, `"trace"`, `log.parts.router: found "trace", expected "debug", "info"`},
		{"format", `"json"`, `"xml"`, `log.format: found "xml"`},
		{"endpoint", `"http://127.0.0.1:4318"`, `"127.0.0.1:4318"`, `telemetry.otlp_endpoint: found`},
		{"ratio", `"sample_ratio": 0`, `"sample_ratio": 1.5`, `telemetry.sample_ratio: found 1.5, expected a number from 0 to 1`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if strings.Count(fullFile, c.old) != 1 {
				t.Fatalf("%s occurs %d times", c.old, strings.Count(fullFile, c.old))
			}
			_, err := loader.Parse("f", []byte(strings.Replace(fullFile, c.old, c.new, 1)))
			var faults *locator.FaultsError
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestOperatorsPortOutsideLoopbackRequiresToken(t *testing.T) {
	_, err := loader.Parse("f", []byte(strings.Replace(minimalFile, "{", `{"operators_listen": "0.0.0.0:9", `, 1)))
	if err == nil || !strings.Contains(err.Error(), "operators_token_digest") {
		t.Fatalf("got %v", err)
	}
}

func TestLoadGeneratesUniqueName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rilld.jsonc")
	if err := os.WriteFile(path, []byte(minimalFile), 0o600); err != nil {
		t.Fatal(err)
	}
	first, err := loader.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := loader.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(first.Name, "sapporo-") || first.Name == second.Name {
		t.Fatalf("got the names %q and %q", first.Name, second.Name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte(fullFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := loader.Parse("f", data)
		if err != nil {
			var faults *locator.FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("the file is rejected without faults: %v", err)
			}
			return
		}
		if len(settings.Platform) == 0 || !settings.PeersAdvertise.IsValid() || settings.DrainBound <= 0 {
			t.Fatalf("invalid settings were accepted: %+v", settings)
		}
	})
}
