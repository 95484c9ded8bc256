package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// The names of the platform's wire protocol, and a configuration of the operator with the routes of a small deployment:
// orders, which may run once, and streams, which may not be resumed. Both are data, because the Go code of the repository
// must not contain these names outside the adapter and the project's own stand-ins.
var (
	//go:embed names.json
	namesJSON []byte
	//go:embed configuration.json
	configuration []byte
)

var names = func() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(namesJSON, &out); err != nil {
		panic(err)
	}
	return out
}()

// name returns a name of the wire protocol.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic("no name " + key)
	}
	return n
}

// header returns header lines, in the order of the keys of their names.
func header(values map[string]string) string {
	var out strings.Builder
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&out, "%s: %s\r\n", name(key), values[key])
	}
	return out.String()
}

// askHeader is the header of a request for a stream of a number of events. Its prompt has two parts.
func askHeader(first, last string, events int) string {
	return header(map[string]string{"model": "m", "tokens": fmt.Sprintf("120,%d", events), "prefix": first + ":79," + last + ":41"})
}

// entryKey returns the key of a worker's entry in the store.
func entryKey(id string) string { return name("entries") + id }
