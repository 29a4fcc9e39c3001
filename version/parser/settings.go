package parser

import (
	"time"

	"bluebelldoor"
)

const defaultDrainLimit = 10 * time.Minute

var settingsSchema = schema{kind: object, fields: map[string]schema{
	"name":          schema{kind: name}.mandatory(),
	"dataCentre":    schema{kind: name}.mandatory(),
	"callerAddress": schema{kind: address}.mandatory(),
	"peerAddress":   schema{kind: address}.mandatory(),
	"opsAddress":    schema{kind: address}.mandatory(),
	"platform": schema{kind: object, fields: map[string]schema{
		"configurationService": schema{kind: address}.mandatory(),
		"vmList":               schema{kind: address}.mandatory(),
	}}.mandatory(),
	"fleetSecret": schema{kind: text, min: 32, max: 256}.mandatory(),
	"logLevel":    {kind: text, oneOf: []string{"trace", "debug", "info", "warn", "error"}},
	"drainLimit":  durationBetween(0, 24*time.Hour),
}}

type wireSettings struct {
	Name          string `json:"name"`
	DataCentre    string `json:"dataCentre"`
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	OpsAddress    string `json:"opsAddress"`
	Platform      struct {
		ConfigurationService string `json:"configurationService"`
		VMList               string `json:"vmList"`
	} `json:"platform"`
	FleetSecret string `json:"fleetSecret"`
	LogLevel    string `json:"logLevel"`
	DrainLimit  string `json:"drainLimit"`
}

// Settings parses the settings of a VM. The error is Findings, with file as the
// file name in each position.
func Settings(file string, data []byte) (*bluebelldoor.Settings, error) {
	c := newCollector(file, data)
	var w wireSettings
	if err := c.decode(settingsSchema, &w); err != nil {
		return nil, err
	}
	c.checkAddresses(w)
	if err := c.err(); err != nil {
		return nil, err
	}
	if w.LogLevel == "" {
		w.LogLevel = "info"
	}
	return bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{
		Name:                 w.Name,
		DataCentre:           w.DataCentre,
		CallerAddress:        w.CallerAddress,
		PeerAddress:          w.PeerAddress,
		OpsAddress:           w.OpsAddress,
		ConfigurationService: w.Platform.ConfigurationService,
		VMList:               w.Platform.VMList,
		FleetSecret:          w.FleetSecret,
		LogLevel:             w.LogLevel,
		DrainLimit:           durationOr(w.DrainLimit, defaultDrainLimit),
	}), nil
}

func (c *collector) checkAddresses(w wireSettings) {
	if w.PeerAddress == w.CallerAddress {
		c.addField("peerAddress", bluebelldoor.Duplicate, "the address is the same as callerAddress")
	}
	if w.OpsAddress == w.CallerAddress || w.OpsAddress == w.PeerAddress {
		c.addField("opsAddress", bluebelldoor.Duplicate, "the address is the same as callerAddress or peerAddress")
	}
}

// durationOr parses a validated duration, and returns the default for an empty
// string.
func durationOr(value string, defaultValue time.Duration) time.Duration {
	if value == "" {
		return defaultValue
	}
	d, _ := time.ParseDuration(value)
	return d
}
