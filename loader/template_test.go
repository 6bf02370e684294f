package loader_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// templatePath is the template from which a hosting platform renders the settings.
const templatePath = "../deploy/settings.jsonc.tmpl"

var (
	templateSection = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// render renders the template as the platform does: a section appears if its value is given, and a value that is not given
// is empty.
func render(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile(templatePath)
	if err != nil {
		t.Fatal(err)
	}
	text := templateSection.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		value, given := values[parts[1]]
		if !given {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return templateValue.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := templateValue.FindStringSubmatch(placeholder)
		if parts[2] != "" {
			return fmt.Sprintf("%q", values[parts[1]])
		}
		return values[parts[1]]
	})
}

// platformValues returns what the platform gives at the least.
func platformValues() map[string]string {
	return map[string]string{
		"node": "front-1", "zone": "north", "ip": "10.1.0.30", "portRange.0": "7340", "portRange.1": "7341",
		"listen.front": "10.1.0.30:8782", "listen.ready": "10.1.0.30:8789", "platform.address": "10.200.1.7:8784",
	}
}

// A platform scales its bounds to a share of the deployment, so that each of them may be a fraction or zero, and leaves out
// those of parts that are not in force. The daemon must start with all of these.
func TestTemplateAcceptsWhatThePlatformCanGive(t *testing.T) {
	bounds := []string{
		"limits.memoryMb", "limits.linkMbps", "bounds.graceS", "bounds.revokeMs", "bounds.versionMs", "bounds.leaseMs",
		"bounds.retryBudgetRatio", "bounds.retryBudgetSlack",
	}
	for _, value := range []string{"", "0", "0.0", "1", "35.83", "4096", "12000.5"} {
		for _, bound := range bounds {
			values := platformValues()
			for _, other := range bounds {
				values[other] = "8"
			}
			if values[bound] = value; value == "" {
				delete(values, bound)
			}
			if _, err := loader.Parse("settings", []byte(render(t, values))); err != nil {
				t.Errorf("%s = %q: %v", bound, value, err)
			}
		}
	}
	if _, err := loader.Parse("settings", []byte(render(t, platformValues()))); err != nil {
		t.Errorf("no bounds: %v", err)
	}
}

func TestTemplateSetsTheBounds(t *testing.T) {
	values := platformValues()
	for name, value := range map[string]string{
		"limits.memoryMb": "284", "bounds.graceS": "8.5", "bounds.revokeMs": "5000", "bounds.versionMs": "12000",
		"bounds.leaseMs": "0", "heartbeatMs": "1500", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "35.83",
	} {
		values[name] = value
	}
	settings, err := loader.Parse("settings", []byte(render(t, values)))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Hosted
	want.MemoryBytes, want.StopBound, want.KeyRevocation = 284e6, 8500*time.Millisecond, 5*time.Second
	want.WeightsSpread, want.LeaseTime = 12*time.Second, loader.DefaultSettings().Hosted.LeaseTime
	want.RetryRatio, want.RetryBurst = 0.2, 35.83
	want.TargetHeartbeat = 1500 * time.Millisecond
	if settings.Hosted != want {
		t.Errorf("settings are %+v, want %+v", settings.Hosted, want)
	}
}
