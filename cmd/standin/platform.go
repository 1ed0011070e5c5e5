package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"wagtailyoke/core/store"
	"wagtailyoke/io/plat"
)

// platformCommand serves the object API and lets a test make it fail:
//
//	POST /fault?mode=ok|down|slow|loseAnswers&ms=N
//	GET  /calls
type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000"`
}

// fault modes of the platform.
const (
	faultNone = iota
	faultDown
	faultSlow
	faultLoseAnswers
)

var faultModes = map[string]int64{"ok": faultNone, "down": faultDown, "slow": faultSlow, "loseAnswers": faultLoseAnswers}

// platform counts calls, a waiting watch as one, and applies the current fault.
type platform struct {
	api    http.Handler
	reads  atomic.Int64
	writes atomic.Int64
	mode   atomic.Int64
	delay  atomic.Int64
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	p := &platform{api: plat.NewHandler(store.NewMemory())}
	return http.ListenAndServe(c.Listen, p)
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		p.setFault(w, r)
	case "/calls":
		_ = json.NewEncoder(w).Encode(struct {
			Reads  int64 `json:"reads"`
			Writes int64 `json:"writes"`
		}{p.reads.Load(), p.writes.Load()})
	default:
		p.serve(w, r)
	}
}

func (p *platform) setFault(w http.ResponseWriter, r *http.Request) {
	mode, ok := faultModes[r.URL.Query().Get("mode")]
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	p.delay.Store(ms)
	p.mode.Store(mode)
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	isWrite := r.Method != http.MethodGet
	if isWrite {
		p.writes.Add(1)
	} else {
		p.reads.Add(1)
	}
	switch p.mode.Load() {
	case faultDown:
		hangUp(w)
	case faultSlow:
		time.Sleep(time.Duration(p.delay.Load()) * time.Millisecond)
		p.api.ServeHTTP(w, r)
	case faultLoseAnswers:
		if isWrite {
			p.api.ServeHTTP(discard{}, r)
			hangUp(w)
			return
		}
		p.api.ServeHTTP(w, r)
	default:
		p.api.ServeHTTP(w, r)
	}
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// discard takes an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
