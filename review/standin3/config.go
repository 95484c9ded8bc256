package main

import "fmt"

// configuration returns a configuration of the operator with the routes of a small deployment: orders, which may run
// once, and streams, which may not be resumed.
func configuration() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "a.example", "path-prefix": prefix, "type": kind, "timeout-ms": timeoutMS,
			"target-latency-ms": 150, "priority": 1, "service": service, "max-attempts": 1, "sticky-sessions": false, "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("order", "/order/", "non_idempotent", "api", 2500, nil),
			route("ask", "/ask/", "streaming", "llm", 15000, map[string]any{"sticky-sessions": true, "gap-aim-ms": 200}),
		},
		"services": []any{
			map[string]any{"name": "api", "health-path": "/health", "max-connections": 100},
			map[string]any{"name": "llm", "health-path": "/health", "max-connections": 300, "engine": map[string]any{"slots": 48, "role-switch-s": 3, "stride": 1}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 60000},
	}
}

// askHeader is the header of a request for a stream of a number of events. Its prompt has two parts.
func askHeader(first, last string, events int) string {
	return fmt.Sprintf("Quetzallug-Model: m\r\nQuetzallug-Token-Count: 120,%d\r\nQuetzallug-Prefix-Hash: %s:79,%s:41\r\n", events, first, last)
}
