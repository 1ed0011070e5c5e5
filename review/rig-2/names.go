package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesText []byte

// names holds the platform's names by group.
var names = func() map[string]map[string]string {
	var n map[string]map[string]string
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return n
}()

// header returns the platform's name of a header.
func header(key string) string { return names["headers"][key] }

// path returns a path of the platform.
func path(key string) string { return names["paths"][key] }
