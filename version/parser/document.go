package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"time"

	"bluebelldoor"
)

// maxDocumentBytes is the largest value that the configuration service stores.
const maxDocumentBytes = 1 << 20

// Defaults of the optional fields.
const (
	defaultFreshFor        = 3 * time.Second
	defaultVMListLag       = 3 * time.Second
	defaultStallAfter      = 2 * time.Second
	defaultAddressValidFor = 30 * time.Second
	defaultKeyValidFor     = 10 * time.Minute
	defaultQueueLength     = 256
	defaultRetryPercent    = 10
	defaultWarmAfter       = 3
	defaultMaxStreams      = 64
	defaultColdSlots       = 1
	defaultWithin          = time.Minute
	defaultLoadsPerMinute  = 6
)

var nameList = listOf(schema{kind: name}, 1000)

var documentSchema = schema{kind: object, fields: map[string]schema{
	"revision": integerBetween(1, math.MaxInt64).mandatory(),
	"dataCentres": listOf(schema{kind: object, fields: map[string]schema{
		"name":      schema{kind: name}.mandatory(),
		"region":    {kind: name},
		"inService": schema{kind: boolean}.mandatory(),
	}}, 64).mandatory(),
	"models": nameList.mandatory(),
	"classes": listOf(schema{kind: object, fields: map[string]schema{
		"name":          schema{kind: name}.mandatory(),
		"priority":      integerBetween(1, 9).mandatory(),
		"defaultWithin": durationBetween(time.Second, time.Hour),
	}}, 9).mandatory(),
	"clientAccounts": listOf(schema{kind: object, fields: map[string]schema{
		"name":       schema{kind: name}.mandatory(),
		"keySha256":  schema{kind: digest}.mandatory(),
		"class":      schema{kind: name}.mandatory(),
		"maxStreams": integerBetween(1, 100_000),
		"large":      {kind: boolean},
	}}, 20_000).mandatory(),
	"services": listOf(schema{kind: object, fields: map[string]schema{
		"name":       schema{kind: name}.mandatory(),
		"repeatable": listOf(schema{kind: text, oneOf: []string{"GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"}}, 6),
	}}, 100),
	"targets": listOf(schema{kind: object, fields: map[string]schema{
		"name":         schema{kind: name}.mandatory(),
		"kind":         schema{kind: text, oneOf: []string{"engine", "application"}}.mandatory(),
		"address":      schema{kind: address}.mandatory(),
		"dataCentre":   schema{kind: name}.mandatory(),
		"models":       nameList,
		"services":     nameList,
		"coldSlots":    integerBetween(0, 1000),
		"memoryTokens": integerBetween(1, math.MaxInt32),
		"maxRunning":   integerBetween(1, 10_000),
		"leaving":      {kind: boolean},
		"fencing":      {kind: boolean},
		"role":         {kind: text, oneOf: []string{"mixed", "prefill", "decode"}},
		"weights": listOf(schema{kind: object, fields: map[string]schema{
			"kind":    schema{kind: text, oneOf: []string{"model", "adapter"}}.mandatory(),
			"name":    schema{kind: name}.mandatory(),
			"version": schema{kind: name}.mandatory(),
		}}, 100),
	}}, 5000).mandatory(),
	"limits": {kind: object, fields: map[string]schema{
		"freshFor":        durationBetween(500*time.Millisecond, 5*time.Second),
		"vmListLag":       durationBetween(0, time.Minute),
		"stallAfter":      durationBetween(100*time.Millisecond, time.Minute),
		"addressValidFor": durationBetween(time.Second, 10*time.Minute),
		"keyValidFor":     durationBetween(time.Second, time.Hour),
		"queueLength":     integerBetween(0, 100_000),
		"retryPercent":    integerBetween(0, 100),
		"warmAfter":       integerBetween(0, 1000),
		"loadsPerMinute":  integerBetween(1, 600),
	}},
}}

type wireDocument struct {
	Revision    uint64                        `json:"revision"`
	DataCentres []bluebelldoor.DataCentreSpec `json:"dataCentres"`
	Models      []string                      `json:"models"`
	Classes     []struct {
		Name          string `json:"name"`
		Priority      int    `json:"priority"`
		DefaultWithin string `json:"defaultWithin"`
	} `json:"classes"`
	ClientAccounts []struct {
		Name       string `json:"name"`
		KeySHA256  string `json:"keySha256"`
		Class      string `json:"class"`
		MaxStreams int    `json:"maxStreams"`
		Large      bool   `json:"large"`
	} `json:"clientAccounts"`
	Services []struct {
		Name       string   `json:"name"`
		Repeatable []string `json:"repeatable"`
	} `json:"services"`
	Targets []wireTarget `json:"targets"`
	Limits  wireLimits   `json:"limits"`
}

type wireTarget struct {
	Name         string   `json:"name"`
	Kind         string   `json:"kind"`
	Address      string   `json:"address"`
	DataCentre   string   `json:"dataCentre"`
	Models       []string `json:"models"`
	Services     []string `json:"services"`
	ColdSlots    *int     `json:"coldSlots"`
	MemoryTokens int      `json:"memoryTokens"`
	MaxRunning   int      `json:"maxRunning"`
	Leaving      bool     `json:"leaving"`
	Fencing      bool     `json:"fencing"`
	Role         string   `json:"role"`

	Weights []bluebelldoor.Weights `json:"weights"`
}

type wireLimits struct {
	FreshFor        string `json:"freshFor"`
	VMListLag       string `json:"vmListLag"`
	StallAfter      string `json:"stallAfter"`
	AddressValidFor string `json:"addressValidFor"`
	KeyValidFor     string `json:"keyValidFor"`
	QueueLength     *int   `json:"queueLength"`
	RetryPercent    *int   `json:"retryPercent"`
	WarmAfter       *int   `json:"warmAfter"`
	LoadsPerMinute  *int   `json:"loadsPerMinute"`
}

// Document parses an operators' document. The error is Findings, with file as
// the file name in each position.
func Document(file string, data []byte) (*bluebelldoor.Document, error) {
	c := newCollector(file, data)
	var w wireDocument
	if err := c.decode(documentSchema, &w); err != nil {
		return nil, err
	}
	c.checkDuplicates(w)
	c.checkReferences(w)
	if err := c.err(); err != nil {
		return nil, err
	}
	return w.build(data), nil
}

// checkDuplicates reports duplicate names, API keys and addresses.
func (c *collector) checkDuplicates(w wireDocument) {
	checkUnique(c, "dataCentres", "name", w.DataCentres, func(d bluebelldoor.DataCentreSpec) string { return d.Name })
	for i, m := range w.Models {
		for j := range i {
			if w.Models[j] == m {
				c.addField(fmt.Sprintf("models[%d]", i), bluebelldoor.Duplicate, "duplicate value %q", m)
				break
			}
		}
	}
	classNames := make([]string, len(w.Classes))
	for i, class := range w.Classes {
		classNames[i] = class.Name
	}
	identity := func(s string) string { return s }
	checkUnique(c, "classes", "name", classNames, identity)
	accountNames := make([]string, len(w.ClientAccounts))
	accountKeys := make([]string, len(w.ClientAccounts))
	for i, a := range w.ClientAccounts {
		accountNames[i] = a.Name
		accountKeys[i] = a.KeySHA256
	}
	checkUnique(c, "clientAccounts", "name", accountNames, identity)
	checkUnique(c, "clientAccounts", "keySha256", accountKeys, identity)
	serviceNames := make([]string, len(w.Services))
	for i, s := range w.Services {
		serviceNames[i] = s.Name
	}
	checkUnique(c, "services", "name", serviceNames, identity)
	checkUnique(c, "targets", "name", w.Targets, func(t wireTarget) string { return t.Name })
	checkUnique(c, "targets", "address", w.Targets, func(t wireTarget) string { return t.Address })
}

func checkUnique[T any](c *collector, listName, field string, items []T, value func(T) string) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		v := value(item)
		if seen[v] {
			c.addField(fmt.Sprintf("%s[%d].%s", listName, i, field), bluebelldoor.Duplicate, "duplicate value %q", v)
		}
		seen[v] = true
	}
}

// checkReferences reports references to names that the document does not define.
func (c *collector) checkReferences(w wireDocument) {
	dataCentres := map[string]bool{}
	for _, d := range w.DataCentres {
		dataCentres[d.Name] = true
	}
	classes := map[string]bool{}
	for _, class := range w.Classes {
		classes[class.Name] = true
	}
	models := map[string]bool{}
	for _, m := range w.Models {
		models[m] = true
	}
	services := map[string]bool{}
	for _, s := range w.Services {
		services[s.Name] = true
	}
	for i, a := range w.ClientAccounts {
		c.checkReference(fmt.Sprintf("clientAccounts[%d].class", i), a.Class, classes)
	}
	for i, t := range w.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.checkReference(path+".dataCentre", t.DataCentre, dataCentres)
		for j, m := range t.Models {
			c.checkReference(fmt.Sprintf("%s.models[%d]", path, j), m, models)
		}
		for j, s := range t.Services {
			c.checkReference(fmt.Sprintf("%s.services[%d]", path, j), s, services)
		}
		c.checkKind(path, t)
	}
}

func (c *collector) checkReference(field, value string, known map[string]bool) {
	if !known[value] {
		c.addField(field, bluebelldoor.UnknownReference, "%q is not defined in the document", value)
	}
}

func (c *collector) checkKind(path string, t wireTarget) {
	engine := t.Kind == string(bluebelldoor.KindEngine)
	switch {
	case engine && len(t.Models) == 0:
		c.addField(path, bluebelldoor.MissingField, "an engine needs models")
	case engine && (t.MemoryTokens == 0 || t.MaxRunning == 0):
		c.addField(path, bluebelldoor.MissingField, "an engine needs memoryTokens and maxRunning")
	case !engine && len(t.Services) == 0:
		c.addField(path, bluebelldoor.MissingField, "an application runner needs services")
	}
}

func (w wireDocument) build(data []byte) *bluebelldoor.Document {
	sum := sha256.Sum256(data)
	spec := bluebelldoor.DocumentSpec{
		Revision: w.Revision,
		Digest:   hex.EncodeToString(sum[:8]),
		Models:   w.Models,
		Limits:   w.Limits.build(),
		Text:     data,
	}
	for _, d := range w.DataCentres {
		spec.DataCentres = append(spec.DataCentres, bluebelldoor.NewDataCentre(d))
	}
	for _, class := range w.Classes {
		spec.Classes = append(spec.Classes, bluebelldoor.NewClass(bluebelldoor.ClassSpec{
			Name:          class.Name,
			Priority:      class.Priority,
			DefaultWithin: durationOr(class.DefaultWithin, defaultWithin),
		}))
	}
	for _, a := range w.ClientAccounts {
		if a.MaxStreams == 0 {
			a.MaxStreams = defaultMaxStreams
		}
		spec.Accounts = append(spec.Accounts, bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec(a)))
	}
	for _, s := range w.Services {
		spec.Services = append(spec.Services, bluebelldoor.NewService(bluebelldoor.ServiceSpec(s)))
	}
	for _, t := range w.Targets {
		spec.Targets = append(spec.Targets, t.build())
	}
	return bluebelldoor.NewDocument(spec)
}

func (t wireTarget) build() *bluebelldoor.Target {
	return bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
		Name:         t.Name,
		Kind:         bluebelldoor.TargetKind(t.Kind),
		Address:      t.Address,
		DataCentre:   t.DataCentre,
		Models:       t.Models,
		Services:     t.Services,
		ColdSlots:    intOr(t.ColdSlots, defaultColdSlots),
		MemoryTokens: t.MemoryTokens,
		MaxRunning:   t.MaxRunning,
		Leaving:      t.Leaving,
		Fencing:      t.Fencing,
		Role:         t.Role,
		Weights:      t.Weights,
	})
}

func (l wireLimits) build() bluebelldoor.Limits {
	return bluebelldoor.Limits{
		FreshFor:        durationOr(l.FreshFor, defaultFreshFor),
		VMListLag:       durationOr(l.VMListLag, defaultVMListLag),
		StallAfter:      durationOr(l.StallAfter, defaultStallAfter),
		AddressValidFor: durationOr(l.AddressValidFor, defaultAddressValidFor),
		KeyValidFor:     durationOr(l.KeyValidFor, defaultKeyValidFor),
		QueueLength:     intOr(l.QueueLength, defaultQueueLength),
		RetryPercent:    intOr(l.RetryPercent, defaultRetryPercent),
		WarmAfter:       intOr(l.WarmAfter, defaultWarmAfter),
		LoadsPerMinute:  intOr(l.LoadsPerMinute, defaultLoadsPerMinute),
	}
}

func intOr(value *int, defaultValue int) int {
	if value == nil {
		return defaultValue
	}
	return *value
}
