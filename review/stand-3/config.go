//go:build review3

package main

import "encoding/json"

// configuration is the operator's configuration.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name          string   `json:"name"`
	Host          string   `json:"host"`
	PathPrefix    string   `json:"path_prefix"`
	Kind          string   `json:"kind"`
	TimeoutMS     int      `json:"timeout_ms"`
	TargetLatency int      `json:"target_latency_ms"`
	Priority      int      `json:"priority"`
	Service       string   `json:"service,omitempty"`
	Gather        []string `json:"gather,omitempty"`
	MaxAttempts   int      `json:"max_attempts"`
	TopK          int      `json:"top_k,omitempty"`
	MinVersion    float64  `json:"min_version,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"cold_start_s"`
	ColdPerS   float64 `json:"cold_per_s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

func newConfiguration(version int) *configuration {
	return &configuration{Version: version, Routes: []route{}, Services: []service{}, Limits: limits{16384, 262144, 3000, 15000}}
}

func (c *configuration) addService(name string, coldPerS float64) {
	c.Services = append(c.Services, service{Name: name, HealthPath: "/healthz", MaxConns: 96, Protocol: "h1", ColdStartS: 3, ColdPerS: coldPerS})
}

func (c *configuration) addRoute(prefix, kind, service string, timeoutMS, attempts int) {
	c.Routes = append(c.Routes, route{Name: "r-" + service + "-" + kind, Host: host, PathPrefix: prefix, Kind: kind,
		TimeoutMS: timeoutMS, TargetLatency: timeoutMS / 5, Priority: 1, Service: service, MaxAttempts: attempts})
}

// host is the host of all routes.
const host = "pupu76.example"

func (c *configuration) encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}
