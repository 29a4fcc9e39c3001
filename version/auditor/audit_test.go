package auditor_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/auditor"
)

// newSpec returns a routing without findings: an urgent and a deferrable generation, and a
// plain request.
func newSpec() *bluebelldoor.RoutingSpec {
	return &bluebelldoor.RoutingSpec{
		Version: 7,
		Routes: []bluebelldoor.RouteSpec{
			{
				Name: "labels", Host: "h", Prefix: "/labels/", Shares: []bluebelldoor.ServiceShare{{Service: "engines", Weight: 1}},
				Streamed: true, Resumable: true, Generates: true, Timeout: 6 * time.Second, LatencyObjective: 1500 * time.Millisecond,
				MaxEventGap: 180 * time.Millisecond, MaxTargets: 2,
			},
			{
				Name: "letters", Host: "h", Prefix: "/letters/", Shares: []bluebelldoor.ServiceShare{{Service: "engines", Weight: 1}},
				Streamed: true, Generates: true, Timeout: 39 * time.Second, LatencyObjective: 4 * time.Second,
				MaxEventGap: 180 * time.Millisecond, Priority: 2, MaxTargets: 1,
			},
			{
				Name: "lookups", Host: "h", Prefix: "/lookups/", Shares: []bluebelldoor.ServiceShare{{Service: "desk", Weight: 9}, {Service: "engines", Weight: 0}},
				Idempotent: true, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond, MaxTargets: 2, Public: true,
			},
		},
		Services: []bluebelldoor.ServiceKind{
			{
				Name: "engines", HealthPath: "/health", MaxConnections: 232, ColdPerSecond: 35, HasColdLimit: true, ColdFor: time.Second,
				Engine: &bluebelldoor.EngineKind{Slots: 24, MemoryTokens: 26_856, BytesPerToken: 1000, LinkBytesPerSecond: 3e9, TokensPerEvent: 4, CanCopy: true},
			},
			{Name: "desk", HealthPath: "/health", MaxConnections: 96},
		},
		Accounts: []bluebelldoor.AccountKeys{
			{Account: "north", Keys: []string{"north-0123456789abcdef", "north-short"}},
			{Account: "south", Keys: []string{"south-0123456789abcdef"}, Priority: 1, HasPriority: true},
		},
		Limits: bluebelldoor.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func findingText(f auditor.Finding) string { return f.Field + " " + f.Code.String() }

// TestAudit guards against faults that are not reported, or at another field or with another
// code, and against further findings that follow from the same fault.
func TestAudit(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*bluebelldoor.RoutingSpec)
		want   []string
	}{
		"none":                  {func(*bluebelldoor.RoutingSpec) {}, nil},
		"no version":            {func(s *bluebelldoor.RoutingSpec) { s.Version = 0 }, []string{"version missingField"}},
		"same host and prefix":  {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Prefix = "/labels/" }, []string{"routes[2].prefix unused"}},
		"same prefix, own host": {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Prefix, s.Routes[2].Host = "/labels/", "i" }, nil},
		"a longer prefix":       {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Prefix = "/labels/x/" }, nil},
		"prefix of all paths":   {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Prefix = "/" }, nil},
		"prefix without begin":  {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Prefix = "letters/" }, []string{"routes[1].prefix unused"}},
		"prefix without end":    {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Prefix = "/letters" }, []string{"routes[1].prefix outOfRange"}},
		"no prefix":             {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Prefix = "" }, []string{"routes[1].prefix missingField"}},
		"no host":               {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Host = "" }, []string{"routes[1].host missingField"}},
		"weights of 0":          {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Shares[0].Weight = 0 }, []string{"routes[2].shares outOfRange"}},
		"no shares":             {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Shares = nil }, []string{"routes[0].shares missingField"}},
		"no such service":       {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Shares[0].Service = "x" }, []string{"routes[0].shares[0].service unknownReference"}},
		"a share of no service": {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Shares[1].Service = "x" }, []string{"routes[2].shares[1].service unknownReference"}},
		"no service":            {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Shares[0].Service = "" }, []string{"routes[0].shares[0].service missingField"}},
		"service twice":         {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Shares[1].Service = "desk" }, []string{"routes[2].shares[1].service duplicate"}},
		"unnamed by routes": {func(s *bluebelldoor.RoutingSpec) {
			s.Services = append(s.Services, bluebelldoor.ServiceKind{Name: "x"})
		}, []string{"services[2].name unused"}},
		"route name twice":       {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Name = "labels" }, []string{"routes[1].name duplicate"}},
		"service name twice":     {func(s *bluebelldoor.RoutingSpec) { s.Services = append(s.Services, s.Services[1]) }, []string{"services[2].name duplicate"}},
		"account name twice":     {func(s *bluebelldoor.RoutingSpec) { s.Accounts[1].Account = "north" }, []string{"accounts[1].account duplicate"}},
		"no route name":          {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Name = "" }, []string{"routes[1].name missingField"}},
		"key of two accounts":    {func(s *bluebelldoor.RoutingSpec) { s.Accounts[1].Keys[0] = "north-short" }, []string{"accounts[1].keys[0] duplicate"}},
		"key twice":              {func(s *bluebelldoor.RoutingSpec) { s.Accounts[0].Keys[1] = s.Accounts[0].Keys[0] }, []string{"accounts[0].keys[1] duplicate"}},
		"empty key":              {func(s *bluebelldoor.RoutingSpec) { s.Accounts[0].Keys[1] = "" }, []string{"accounts[0].keys[1] outOfRange"}},
		"account without keys":   {func(s *bluebelldoor.RoutingSpec) { s.Accounts[1].Keys = nil }, []string{"accounts[1].keys unused"}},
		"objective over timeout": {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].LatencyObjective = 7 * time.Second }, []string{"routes[0].latencyObjective contradiction"}},
		"objective is timeout":   {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].LatencyObjective = 6 * time.Second }, nil},
		"no timeout":             {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Timeout = 0 }, nil},
		"gap over timeout":       {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].MaxEventGap = 7 * time.Second }, []string{"routes[0].maxEventGap contradiction"}},
		"gap over objective":     {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].MaxEventGap = 2 * time.Second }, []string{"routes[0].maxEventGap contradiction"}},
		"gap over objective, no generation": {func(s *bluebelldoor.RoutingSpec) {
			s.Routes[0].MaxEventGap, s.Routes[0].Generates = 2*time.Second, false
		}, nil},
		"gap without objective":     {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].LatencyObjective = 0 }, nil},
		"stream without gap":        {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].MaxEventGap = 0 }, nil},
		"gap without stream":        {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].MaxEventGap = time.Millisecond }, []string{"routes[2].maxEventGap contradiction"}},
		"resumable, not streamed":   {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Resumable = true }, []string{"routes[2].resumable contradiction"}},
		"no targets":                {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].MaxTargets = 0 }, []string{"routes[1].maxTargets outOfRange"}},
		"no header limit":           {func(s *bluebelldoor.RoutingSpec) { s.Limits.HeaderBytes = 0 }, []string{"limits.headerBytes outOfRange"}},
		"no body limit":             {func(s *bluebelldoor.RoutingSpec) { s.Limits.BodyBytes = 0 }, []string{"limits.bodyBytes outOfRange"}},
		"engine without slots":      {func(s *bluebelldoor.RoutingSpec) { s.Services[0].Engine.Slots = 0 }, []string{"services[0].engine.slots outOfRange"}},
		"engine without memory":     {func(s *bluebelldoor.RoutingSpec) { s.Services[0].Engine.MemoryTokens = 0 }, []string{"services[0].engine.memoryTokens outOfRange"}},
		"no tokens in an event":     {func(s *bluebelldoor.RoutingSpec) { s.Services[0].Engine.TokensPerEvent = 0 }, []string{"services[0].engine.tokensPerEvent outOfRange"}},
		"generations, no engine":    {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Generates = true }, []string{"routes[2].shares[0].service contradiction"}},
		"cold rate, no cold time":   {func(s *bluebelldoor.RoutingSpec) { s.Services[0].ColdFor = 0 }, []string{"services[0].coldPerSecond contradiction"}},
		"never cold":                {func(s *bluebelldoor.RoutingSpec) { s.Services[0].ColdFor, s.Services[0].ColdPerSecond = 0, 0 }, nil},
		"all routes public":         {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Public, s.Routes[1].Public = true, true }, nil},
		"no accounts":               {func(s *bluebelldoor.RoutingSpec) { s.Accounts = nil }, nil},
		"nothing but the version":   {func(s *bluebelldoor.RoutingSpec) { *s = bluebelldoor.RoutingSpec{Version: 1, Limits: s.Limits} }, nil},
		"several on a route at all": {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Host, s.Routes[1].MaxTargets = "", 0 }, []string{"routes[1].host missingField", "routes[1].maxTargets outOfRange"}},
	} {
		t.Run(name, func(t *testing.T) {
			spec := newSpec()
			c.change(spec)
			got := auditor.Audit(spec, nil)
			texts := []string{}
			for _, f := range got {
				texts = append(texts, findingText(f))
			}
			assert.Assert(t, slices.Equal(texts, c.want), "%v", got)
		})
	}
}

// TestVersionInForce guards against a routing that VMs would not take because its version is
// not above the one in force, and against a finding for the routing in force itself.
func TestVersionInForce(t *testing.T) {
	for name, c := range map[string]struct {
		version uint64
		changed bool
		found   bool
	}{
		"higher":             {8, true, false},
		"higher, unchanged":  {8, false, false},
		"equal":              {7, true, true},
		"equal, unchanged":   {7, false, false},
		"lower":              {6, true, true},
		"lower but the same": {6, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			spec := newSpec()
			spec.Version = c.version
			if c.changed {
				spec.Routes[0].Priority++
			}
			got := auditor.Audit(spec, newSpec())
			assert.Equal(t, len(got), map[bool]int{true: 1}[c.found], "%v", got)
			if c.found {
				assert.Equal(t, findingText(got[0]), "version outOfRange")
			}
		})
	}
}

// TestKeysAreMasked guards against API keys in the output: nothing of a short key may appear,
// and no more than the end of a long one.
func TestKeysAreMasked(t *testing.T) {
	for name, c := range map[string]struct{ key, shown string }{
		"long":         {"north-0123456789abcdef", "...cdef (22 bytes)"},
		"just long":    {"0123456789abcdef", "...cdef (16 bytes)"},
		"short":        {"0123456789abcde", "... (15 bytes)"},
		"very short":   {"zq", "... (2 bytes)"},
		"broken UTF-8": {"0123456789abcde\xffz", "...dez (17 bytes)"},
	} {
		t.Run(name, func(t *testing.T) {
			spec, inForce := newSpec(), newSpec()
			spec.Accounts[0].Keys = []string{c.key, c.key}
			spec.Accounts[1].Keys = []string{c.key}
			inForce.Accounts[1].Keys = []string{c.key + "0"}
			reasons := []string{}
			for _, f := range auditor.Audit(spec, nil) {
				reasons = append(reasons, f.Reason)
			}
			assert.DeepEqual(t, reasons, []string{
				`account "north" holds the API key ` + c.shown + " twice",
				`accounts "north" and "south" both hold the API key ` + c.shown,
			})
			for _, d := range auditor.Compare(spec, inForce) {
				assert.Assert(t, !strings.Contains(d.Reason, c.key), "%s", d.Reason)
				reasons = append(reasons, d.Reason)
			}
			assert.Assert(t, slices.Contains(reasons, `"south": API keys added: `+c.shown), "%v", reasons)
		})
	}
}
