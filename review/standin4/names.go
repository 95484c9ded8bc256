package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the platform's wire protocol, which the Go code of the repository must not contain outside
// the adapter and the project's own stand-ins.
//
//go:embed names.json
var namesJSON []byte

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
