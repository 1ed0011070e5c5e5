package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/store"
)

// Handler serves a Memory over the API.
type Handler struct {
	memory *store.Memory
}

// NewHandler returns a handler of the objects in memory.
func NewHandler(memory *store.Memory) *Handler { return &Handler{memory: memory} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		h.object(w, r, strings.TrimPrefix(r.URL.Path, "/objects/"))
	case strings.HasPrefix(r.URL.Path, "/watch/"):
		h.watch(w, r, strings.TrimPrefix(r.URL.Path, "/watch/"))
	case r.URL.Path == "/list":
		answer(w, http.StatusOK, h.memory.List(r.URL.Query().Get("prefix")))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *Handler) object(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		o, err := h.memory.Get(key)
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case http.MethodPut:
		h.put(w, r, key)
	case http.MethodDelete:
		h.memory.Delete(key)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil || len(value) > store.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, err := h.memory.Put(key, expected, value)
	if errors.Is(err, store.ErrConflict) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	answer(w, http.StatusOK, written{Version: version})
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changed := make(chan store.Object, 1)
	h.memory.OnChange(key, after, func(o store.Object) { changed <- o })
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	select {
	case o := <-changed:
		answer(w, http.StatusOK, o)
	case <-timeout.C:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
