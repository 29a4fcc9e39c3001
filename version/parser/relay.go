package parser

import (
	"time"

	"bluebelldoor"
)

var relaySchema = schema{kind: object, allowUnknown: true, fields: map[string]schema{
	"name":             schema{kind: name}.mandatory(),
	"dataCentre":       schema{kind: name}.mandatory(),
	"callerAddress":    schema{kind: address}.mandatory(),
	"readyAddress":     schema{kind: address}.mandatory(),
	"directoryAddress": schema{kind: address}.mandatory(),
	"peerAddress":      schema{kind: address}.mandatory(),
	"opsAddress":       schema{kind: address}.mandatory(),
	"catalogue":        schema{kind: address}.mandatory(),
	"seeds":            listOf(schema{kind: address}, 16).mandatory(),
	"fleetSecret":      {kind: text, max: 256},
	"logLevel":         {kind: text, oneOf: []string{"trace", "debug", "info", "warn", "error"}},
	"memoryMegabytes":  integerBetween(32, 1<<20).mandatory(),
	"cpuShare":         schema{kind: number, max: 1024}.mandatory(),
	"cores":            schema{kind: number, max: 1024}.mandatory(),
	"linkMegabits":     {kind: number, max: 1 << 20},
	"stopWithin":       durationBetween(time.Second, time.Hour).mandatory(),
	"addressValidFor":  durationBetween(0, time.Hour).mandatory(),
	"keyEvidence":      durationBetween(100*time.Millisecond, time.Hour).mandatory(),
	"newsWithin":       durationBetween(100*time.Millisecond, time.Hour).mandatory(),
	"leavingWithin":    durationBetween(0, time.Hour),
	"retryWindow":      durationBetween(time.Second, time.Hour).mandatory(),
	"retryRatio":       schema{kind: number, max: 100}.mandatory(),
	"retryAllowance":   schema{kind: number, max: 1 << 20}.mandatory(),
	"firstStart":       {kind: boolean},
	"coldFactor":       schema{kind: number, max: 100}.mandatory(),
	"coldAllowance":    schema{kind: number, max: 1 << 20}.mandatory(),
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
	FirstStart       bool     `json:"firstStart"`
	ColdFactor       float64  `json:"coldFactor"`
	ColdAllowance    float64  `json:"coldAllowance"`
}

// RelaySettings parses the settings of a relay VM. The error is Findings, with
// file as the file name in each position.
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
		Name:              w.Name,
		DataCentre:        w.DataCentre,
		CallerAddress:     w.CallerAddress,
		ReadyAddress:      w.ReadyAddress,
		DirectoryAddress:  w.DirectoryAddress,
		PeerAddress:       w.PeerAddress,
		OpsAddress:        w.OpsAddress,
		Catalogue:         w.Catalogue,
		Seeds:             w.Seeds,
		FleetSecret:       w.FleetSecret,
		LogLevel:          w.LogLevel,
		MemoryMegabytes:   w.MemoryMegabytes,
		Cores:             w.CPUShare * w.Cores,
		LinkMegabits:      w.LinkMegabits,
		StopWithin:        durationOr(w.StopWithin, 0),
		AddressValidFor:   durationOr(w.AddressValidFor, 0),
		KeyEvidenceMaxAge: durationOr(w.KeyEvidence, 0),
		UpdateWithin:      durationOr(w.NewsWithin, 0),
		LeavingWithin:     durationOr(w.LeavingWithin, 0),
		RetryWindow:       durationOr(w.RetryWindow, 0),
		RetryRatio:        w.RetryRatio,
		RetryAllowance:    w.RetryAllowance,
		FirstStart:        w.FirstStart,
		ColdFactor:        w.ColdFactor,
		ColdAllowance:     w.ColdAllowance,
	}, nil
}
