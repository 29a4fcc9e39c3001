package parser_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/parser"
)

const goodSettings = `{
  "name": "vm-1", "dataCentre": "ate",
  "callerAddress": "10.0.0.1:8100", "peerAddress": "10.0.0.1:8101", "opsAddress": "10.0.0.1:8102",
  "platform": {"configurationService": "10.0.0.9:80", "vmList": "10.0.0.9:80"},
  "fleetSecret": "0123456789abcdef0123456789abcdef", // all VMs share it
}`

const goodDocument = `{
  "revision": 7,
  "dataCentres": [{"name": "ate", "inService": true}],
  "models": ["gait"],
  "classes": [{"name": "report", "priority": 1, "defaultWithin": "60s"}],
  "clientAccounts": [{"name": "clinic", "keySha256": "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "class": "report"}],
  "services": [{"name": "bookings", "repeatable": ["GET"]}],
  "targets": [
    {"name": "engine-1", "kind": "engine", "address": "10.0.1.1:80", "dataCentre": "ate", "models": ["gait"], "memoryTokens": 16000, "maxRunning": 32},
    {"name": "desk-1", "kind": "application", "address": "10.0.1.2:80", "dataCentre": "ate", "services": ["bookings"]},
  ],
  "limits": {"freshFor": "3s"},
}`

type badCase struct {
	old, new string
	field    string
	line     int
	code     bluebelldoor.Code
}

func checkFirstFinding(t *testing.T, text string, c badCase, parse func(string) error) {
	t.Helper()
	assert.Assert(t, strings.Contains(text, c.old), "the case does not change the text")
	err := parse(strings.Replace(text, c.old, c.new, 1))
	var findings parser.Findings
	assert.Assert(t, errors.As(err, &findings), "%v", err)
	f := findings[0]
	assert.Equal(t, f.Code(), c.code, "%s", err)
	assert.Equal(t, f.Field(), c.field)
	assert.Equal(t, f.Line(), c.line)
	assert.Assert(t, f.Column() > 0)
}

func parseSettings(text string) error {
	_, err := parser.Settings("vm.hujson", []byte(text))
	return err
}

func parseDocument(text string) error {
	_, err := parser.Document("document.hujson", []byte(text))
	return err
}

func TestBadSettings(t *testing.T) {
	for name, c := range map[string]badCase{
		"unknown field":   {`"name"`, `"nam"`, "name", 1, bluebelldoor.MissingField},
		"wrong type":      {`"vm-1"`, `1`, "name", 2, bluebelldoor.WrongType},
		"bad name":        {`"vm-1"`, `"vm 1"`, "name", 2, bluebelldoor.OutOfRange},
		"host name":       {`"10.0.0.1:8100"`, `"localhost:8100"`, "callerAddress", 3, bluebelldoor.BadAddress},
		"no port":         {`"10.0.0.1:8102"`, `"10.0.0.1"`, "opsAddress", 3, bluebelldoor.BadAddress},
		"address twice":   {`"10.0.0.1:8101"`, `"10.0.0.1:8100"`, "peerAddress", 3, bluebelldoor.Duplicate},
		"missing field":   {`, "vmList": "10.0.0.9:80"`, ``, "platform.vmList", 4, bluebelldoor.MissingField},
		"short secret":    {`0123456789abcdef0123456789abcdef`, `short`, "fleetSecret", 5, bluebelldoor.OutOfRange},
		"field twice":     {`"dataCentre": "ate",`, `"dataCentre": "ate", "dataCentre": "ate",`, "dataCentre", 2, bluebelldoor.Duplicate},
		"not JSON at all": {`{`, `[}`, "", 1, bluebelldoor.Syntax},
	} {
		t.Run(name, func(t *testing.T) { checkFirstFinding(t, goodSettings, c, parseSettings) })
	}
	assert.NilError(t, parseSettings(goodSettings))
}

func TestBadDocuments(t *testing.T) {
	for name, c := range map[string]badCase{
		"unknown field":       {`"inService": true`, `"inService": true, "colour": 1`, "dataCentres[0].colour", 3, bluebelldoor.UnknownField},
		"revision zero":       {`"revision": 7`, `"revision": 0`, "revision", 2, bluebelldoor.OutOfRange},
		"revision fraction":   {`"revision": 7`, `"revision": 7.5`, "revision", 2, bluebelldoor.WrongType},
		"text for number":     {`"priority": 1`, `"priority": "1"`, "classes[0].priority", 5, bluebelldoor.WrongType},
		"no unit":             {`"60s"`, `"60"`, "classes[0].defaultWithin", 5, bluebelldoor.BadUnit},
		"too long":            {`"60s"`, `"60h"`, "classes[0].defaultWithin", 5, bluebelldoor.OutOfRange},
		"freshFor too long":   {`"3s"`, `"1m"`, "limits.freshFor", 12, bluebelldoor.OutOfRange},
		"bad digest":          {`e3b0c4`, `zzzz`, "clientAccounts[0].keySha256", 6, bluebelldoor.BadSecret},
		"no such class":       {`"class": "report"`, `"class": "check"`, "clientAccounts[0].class", 6, bluebelldoor.UnknownReference},
		"no such model":       {`"models": ["gait"], "mem`, `"models": ["gate"], "mem`, "targets[0].models[0]", 9, bluebelldoor.UnknownReference},
		"no such service":     {`"services": ["bookings"]`, `"services": ["orders"]`, "targets[1].services[0]", 10, bluebelldoor.UnknownReference},
		"no such data centre": {`"dataCentre": "ate", "services"`, `"dataCentre": "callao", "services"`, "targets[1].dataCentre", 10, bluebelldoor.UnknownReference},
		"name twice":          {`"desk-1"`, `"engine-1"`, "targets[1].name", 10, bluebelldoor.Duplicate},
		"address twice":       {`10.0.1.2:80`, `10.0.1.1:80`, "targets[1].address", 10, bluebelldoor.Duplicate},
		"engine, no memory":   {`"memoryTokens": 16000, `, ``, "targets[0]", 9, bluebelldoor.MissingField},
		"unknown kind":        {`"kind": "application"`, `"kind": "printer"`, "targets[1].kind", 10, bluebelldoor.OutOfRange},
		"list for object":     {`{"freshFor": "3s"}`, `["3s"]`, "limits", 12, bluebelldoor.WrongType},
		"truncated":           {`"limits": {"freshFor": "3s"},` + "\n}", `"limits": {`, "", 12, bluebelldoor.Syntax},
	} {
		t.Run(name, func(t *testing.T) { checkFirstFinding(t, goodDocument, c, parseDocument) })
	}
	assert.NilError(t, parseDocument(goodDocument))
}

// TestAllFindings checks that all findings of a text are reported at once.
func TestAllFindings(t *testing.T) {
	text := strings.NewReplacer(`"revision": 7`, `"revision": 0`, `"60s"`, `"60"`, `"3s"`, `3`).Replace(goodDocument)
	var findings parser.Findings
	assert.Assert(t, errors.As(parseDocument(text), &findings))
	assert.Equal(t, len(findings), 3, "%s", findings)
}

func TestTooLarge(t *testing.T) {
	err := parseDocument(goodDocument + strings.Repeat(" ", 1<<20))
	assert.ErrorContains(t, err, "documentTooLarge (409)")
}

// TestExamples parses the example files for operators.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.hujson")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 5)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		parse := parseSettings
		if strings.HasPrefix(filepath.Base(file), "document") {
			parse = parseDocument
		}
		assert.NilError(t, parse(string(text)), file)
	}
}

func FuzzParser(f *testing.F) {
	f.Add(goodSettings)
	f.Add(goodDocument)
	f.Fuzz(func(_ *testing.T, text string) {
		_ = parseSettings(text)
		_ = parseDocument(text)
	})
}
