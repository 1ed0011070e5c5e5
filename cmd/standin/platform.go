package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"wagtailyoke/platform/stand"
)

// platformCommand serves the object store, with a fault injection endpoint for tests:
//
//	POST /fault?mode=ok|down|silent|slow|loseAnswers&ms=N
//	GET  /calls
type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000"`
}

// Rate limits and history length of the object store.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	history         = 20 * time.Second
)

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	objects := stand.New(stand.Limits{WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond, History: history})
	mux := http.NewServeMux()
	mux.Handle("/", objects)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) { setFault(objects, w, r) })
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := objects.Calls()
		_ = json.NewEncoder(w).Encode(struct {
			Reads  int64 `json:"reads"`
			Writes int64 `json:"writes"`
		}{reads, writes})
	})
	return http.ListenAndServe(c.Listen, mux)
}

func setFault(objects *stand.Store, w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	if err != nil {
		ms = 0
	}
	delay := time.Duration(ms) * time.Millisecond
	switch r.URL.Query().Get("mode") {
	case "ok":
		objects.SetFault(stand.Fault{})
	case "down":
		objects.SetFault(stand.Fault{Down: true})
	case "silent":
		objects.SetFault(stand.Fault{Silent: true})
	case "slow":
		objects.SetFault(stand.Fault{Delay: delay})
	case "loseAnswers":
		objects.SetFault(stand.Fault{LoseAnswers: 1, Late: delay})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}
