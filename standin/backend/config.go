// Package backend is a stand-in for backend servers. Each server has slots, a
// service time and a cold start, rejects requests beyond its slots without running
// them, and records every booking that it runs.
package backend

import (
	"encoding/json"
	"os"
)

// Default values of a ServerConfig.
const (
	defaultSlowFactor = 20
	defaultColdFactor = 4
)

// Config is the content of a backend configuration file.
type Config struct {
	// ControlAddress is the "ip:port" of the control endpoint.
	ControlAddress string `json:"control_address"`
	// Seed is the seed of the service times.
	Seed    uint64         `json:"seed"`
	Servers []ServerConfig `json:"servers"`
}

// ServerConfig describes one backend server.
type ServerConfig struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Address is the "ip:port" that the server listens on.
	Address string `json:"address"`
	// Slots bounds the requests in flight.
	Slots int `json:"slots"`
	// MaxConnections bounds the open connections; 0 sets no bound.
	MaxConnections int `json:"connections"`
	// ServiceTimeMS is the mean service time in milliseconds. Service times are
	// distributed uniformly over the mean +- ServiceTimeSpread times the mean.
	ServiceTimeMS     float64 `json:"service_time_ms"`
	ServiceTimeSpread float64 `json:"spread"`
	// ColdStartMS is how long the server is cold after its start, in milliseconds.
	// While it is cold, its service time is multiplied by ColdFactor (default 4).
	ColdStartMS int     `json:"cold_start_ms"`
	ColdFactor  float64 `json:"cold_factor"`
	// SlowFactor multiplies the service time in the modes Slow and Misreporting;
	// default 20.
	SlowFactor float64 `json:"slow_factor"`
}

// LoadConfig reads a configuration file.
func LoadConfig(file string) (Config, error) {
	var c Config
	content, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(content, &c)
}

func (c ServerConfig) withDefaults() ServerConfig {
	if c.SlowFactor == 0 {
		c.SlowFactor = defaultSlowFactor
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = defaultColdFactor
	}
	return c
}
