package main

import (
	"encoding/json"
	"os"
)

// protocol holds the names of the users' protocol, which are kept in a file of their own.
type protocol struct {
	Headers, Paths, Config, Heartbeat map[string]string
}

func readProtocol(file string) (*protocol, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &protocol{}
	return p, json.Unmarshal(text, p)
}

// object replaces the keys of an object by their names on the wire.
func object(names map[string]string, fields map[string]any) map[string]any {
	o := make(map[string]any, len(fields))
	for key, value := range fields {
		name, ok := names[key]
		if !ok {
			panic("no wire name for " + key)
		}
		o[name] = value
	}
	return o
}
