package parser_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/parser"
)

const relaySettings = `{
  "name": "vm-1", "dataCentre": "ate", "callerAddress": "10.0.0.1:1", "readyAddress": "10.0.0.1:2", "directoryAddress": "10.0.0.1:3",
  "peerAddress": "10.0.0.1:4", "opsAddress": "10.0.0.1:5", "catalogue": "10.0.0.9:1", "seeds": ["10.0.0.1:4", "10.0.0.2:4"],
  "memoryMegabytes": 134, "cpuShare": 0.4, "cores": 1, "stopWithin": "8s", "addressValidFor": "5s", "keyEvidence": "5000ms", "newsWithin": "2000ms",
  "retryWindow": "10s", "retryRatio": 0.2, "retryAllowance": 52, "coldFactor": 1.5, "coldAllowance": 5, // the end
}`

func TestRelaySettings(t *testing.T) {
	got, err := parser.RelaySettings("vm.hujson", []byte(relaySettings))
	assert.NilError(t, err)
	assert.Equal(t, got.Cores, 0.4)
	assert.Equal(t, got.KeyEvidenceMaxAge, 5*time.Second)
	assert.DeepEqual(t, got.Seeds, []string{"10.0.0.1:4", "10.0.0.2:4"})
	assert.Equal(t, got.LogLevel, "info")
}

func TestRelaySettingsFindings(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		code     bluebelldoor.Code // 0 for none
	}{
		"a field of a newer version": {`"cores": 1`, `"cores": 1, "later": {"x": 1}`, bluebelldoor.OK},
		"no memory":                  {`"memoryMegabytes": 134, `, ``, bluebelldoor.MissingField},
		"text for number":            {`"retryRatio": 0.2`, `"retryRatio": ""`, bluebelldoor.WrongType},
		"negative number":            {`"coldFactor": 1.5`, `"coldFactor": -1.5`, bluebelldoor.OutOfRange},
		"no unit":                    {`"stopWithin": "8s"`, `"stopWithin": "8"`, bluebelldoor.BadUnit},
		"address without port":       {`"catalogue": "10.0.0.9:1"`, `"catalogue": "10.0.0.9"`, bluebelldoor.BadAddress},
		"host name for IP":           {`"10.0.0.2:4"`, `"vm-2:4"`, bluebelldoor.BadAddress},
		"list for text":              {`"name": "vm-1"`, `"name": ["vm-1"]`, bluebelldoor.WrongType},
		"not closed":                 {`// the end`, `/* the end`, bluebelldoor.Syntax},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parser.RelaySettings("vm.hujson", []byte(strings.Replace(relaySettings, c.old, c.new, 1)))
			if c.code == bluebelldoor.OK {
				assert.NilError(t, err)
				return
			}
			var findings parser.Findings
			assert.Assert(t, errors.As(err, &findings), "%v", err)
			assert.Equal(t, findings[0].Code(), c.code, "%v", err)
		})
	}
}

// TestTemplate checks that the settings template that the platform fills in has
// only known fields and all required ones.
func TestTemplate(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.hujson.tmpl")
	assert.NilError(t, err)
	values := map[string]string{
		"listen.front|json": `"10.0.0.1:1"`, "listen.ready|json": `"10.0.0.1:2"`, "listen.directory|json": `"10.0.0.1:3"`,
		"listen.control|json": `"10.0.0.1:4"`, "provider.address|json": `"10.0.0.9:1"`, "seeds|json": `["10.0.0.1:4"]`,
		"node|json": `"front-1"`, "zone|json": `"ate"`, "ip": "10.0.0.1", "internal_ports.0": "7200",
	}
	for name, firstStart := range map[string]bool{"first start": true, "later start": false} {
		t.Run(name, func(t *testing.T) {
			rendered := renderSections(string(text), map[string]bool{"bootstrap": firstStart})
			filled := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(rendered, func(p string) string {
				if v, ok := values[strings.Trim(p, "{}")]; ok {
					return v
				}
				return "100"
			})
			settings, err := parser.RelaySettings("settings", []byte(filled))
			assert.NilError(t, err)
			assert.Equal(t, settings.FirstStart, firstStart)
		})
	}
}

// renderSections renders the sections of a template that depend on whether a value is true.
func renderSections(text string, values map[string]bool) string {
	for name, set := range values {
		for mark, shown := range map[string]bool{"#": set, `\^`: !set} {
			section := regexp.MustCompile(`\{\{` + mark + name + `\}\}(.*?)\{\{/` + name + `\}\}`)
			if shown {
				text = section.ReplaceAllString(text, "$1")
			} else {
				text = section.ReplaceAllString(text, "")
			}
		}
	}
	return text
}
