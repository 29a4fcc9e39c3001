package parser

import (
	"time"

	"bluebelldoor"
)

var relaySchema = schema{kind: object, open: true, fields: map[string]schema{
	"name":             schema{kind: name}.must(),
	"dataCentre":       schema{kind: name}.must(),
	"callerAddress":    schema{kind: address}.must(),
	"readyAddress":     schema{kind: address}.must(),
	"directoryAddress": schema{kind: address}.must(),
	"peerAddress":      schema{kind: address}.must(),
	"opsAddress":       schema{kind: address}.must(),
	"catalogue":        schema{kind: address}.must(),
	"seeds":            listOf(schema{kind: address}, 16).must(),
	"fleetSecret":      {kind: text, max: 256},
	"logLevel":         {kind: text, oneOf: []string{"trace", "debug", "info", "warn", "error"}},
	"memoryMegabytes":  whole(32, 1<<20).must(),
	"cpuShare":         schema{kind: number, max: 1024}.must(),
	"cores":            schema{kind: number, max: 1024}.must(),
	"linkMegabits":     {kind: number, max: 1 << 20},
	"stopWithin":       span(time.Second, time.Hour).must(),
	"addressValidFor":  span(0, time.Hour).must(),
	"keyEvidence":      span(100*time.Millisecond, time.Hour).must(),
	"newsWithin":       span(100*time.Millisecond, time.Hour).must(),
	"leavingWithin":    span(0, time.Hour),
	"retryWindow":      span(time.Second, time.Hour).must(),
	"retryRatio":       schema{kind: number, max: 100}.must(),
	"retryAllowance":   schema{kind: number, max: 1 << 20}.must(),
	"coldFactor":       schema{kind: number, max: 100}.must(),
	"coldAllowance":    schema{kind: number, max: 1 << 20}.must(),
}}

type wireRelay struct {
	Name             string   `json:"name"`
	DataCentre       string   `json:"dataCentre"`
	CallerAddress    string   `json:"callerAddress"`
	ReadyAddress     string   `json:"readyAddress"`
	DirectoryAddress string   `json:"directoryAddress"`
	PeerAddress      string   `json:"peerAddress"`
	OpsAddress       string   `json:"opsAddress"`
	Catalogue        string   `json:"catalogue"`
	Seeds            []string `json:"seeds"`
	FleetSecret      string   `json:"fleetSecret"`
	LogLevel         string   `json:"logLevel"`
	MemoryMegabytes  int      `json:"memoryMegabytes"`
	CPUShare         float64  `json:"cpuShare"`
	Cores            float64  `json:"cores"`
	LinkMegabits     float64  `json:"linkMegabits"`
	StopWithin       string   `json:"stopWithin"`
	AddressValidFor  string   `json:"addressValidFor"`
	KeyEvidence      string   `json:"keyEvidence"`
	NewsWithin       string   `json:"newsWithin"`
	LeavingWithin    string   `json:"leavingWithin"`
	RetryWindow      string   `json:"retryWindow"`
	RetryRatio       float64  `json:"retryRatio"`
	RetryAllowance   float64  `json:"retryAllowance"`
	ColdFactor       float64  `json:"coldFactor"`
	ColdAllowance    float64  `json:"coldAllowance"`
}

// RelaySettings checks the text of the settings of a VM that relays. The error
// is Findings, with file as the name in each position.
func RelaySettings(file string, data []byte) (*bluebelldoor.RelaySettings, error) {
	c := newCollector(file, data)
	var w wireRelay
	if err := c.decode(relaySchema, &w); err != nil {
		return nil, err
	}
	if w.LogLevel == "" {
		w.LogLevel = "info"
	}
	return &bluebelldoor.RelaySettings{
		Name:             w.Name,
		DataCentre:       w.DataCentre,
		CallerAddress:    w.CallerAddress,
		ReadyAddress:     w.ReadyAddress,
		DirectoryAddress: w.DirectoryAddress,
		PeerAddress:      w.PeerAddress,
		OpsAddress:       w.OpsAddress,
		Catalogue:        w.Catalogue,
		Seeds:            w.Seeds,
		FleetSecret:      w.FleetSecret,
		LogLevel:         w.LogLevel,
		MemoryMegabytes:  w.MemoryMegabytes,
		Cores:            w.CPUShare * w.Cores,
		LinkMegabits:     w.LinkMegabits,
		StopWithin:       parsed(w.StopWithin, 0),
		AddressValidFor:  parsed(w.AddressValidFor, 0),
		KeyEvidence:      parsed(w.KeyEvidence, 0),
		NewsWithin:       parsed(w.NewsWithin, 0),
		LeavingWithin:    parsed(w.LeavingWithin, 0),
		RetryWindow:      parsed(w.RetryWindow, 0),
		RetryRatio:       w.RetryRatio,
		RetryAllowance:   w.RetryAllowance,
		ColdFactor:       w.ColdFactor,
		ColdAllowance:    w.ColdAllowance,
	}, nil
}
