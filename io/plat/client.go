// Package plat speaks the platform's object API over HTTP: Client is a node's
// side, Handler serves a store.Memory and is used by the stand-in.
//
// The API:
//
//	GET    /objects/KEY                      200 with an object, or 404
//	PUT    /objects/KEY?version=N            200 with the new version, or 409
//	DELETE /objects/KEY                      204
//	GET    /watch/KEY?after=N&waitMs=M       200 once the version is above N, or 204
//	GET    /list?prefix=P                    200 with objects
//
// # Usage
//
//	c := plat.NewClient("http://127.0.0.1:7000", 2*time.Second)
//	c.Get("config", func(o store.Object, err error) { ... })
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/store"
)

const (
	watchWait      = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client implements store.Platform. Each call runs on its own goroutine.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client of the API at a base URL.
func NewClient(base string, timeout time.Duration) *Client {
	const idlePerHost = 16
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}}
}

type written struct {
	Version uint64 `json:"version"`
}

// Get implements store.Platform.
func (c *Client) Get(key string, done func(store.Object, error)) {
	go func() { done(c.GetNow(context.Background(), key)) }()
}

// GetNow reads an object and waits for it.
func (c *Client) GetNow(ctx context.Context, key string) (store.Object, error) {
	var o store.Object
	_, err := c.do(ctx, http.MethodGet, "/objects/"+key, nil, c.timeout, &o)
	return o, err
}

// Put implements store.Platform.
func (c *Client) Put(key string, expected uint64, value []byte, done func(uint64, error)) {
	go func() { done(c.PutNow(context.Background(), key, expected, value)) }()
}

// PutNow writes an object and waits for the answer.
func (c *Client) PutNow(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	var w written
	_, err := c.do(ctx, http.MethodPut, fmt.Sprintf("/objects/%s?version=%d", key, expected), value, c.timeout, &w)
	return w.Version, err
}

// Delete implements store.Platform.
func (c *Client) Delete(key string, done func(error)) {
	go func() { done(c.DeleteNow(context.Background(), key)) }()
}

// DeleteNow removes an object and waits for the answer.
func (c *Client) DeleteNow(ctx context.Context, key string) error {
	_, err := c.do(ctx, http.MethodDelete, "/objects/"+key, nil, c.timeout, nil)
	return err
}

// Watch implements store.Platform.
func (c *Client) Watch(key string, after uint64, done func(store.Object, error)) {
	go func() {
		var o store.Object
		path := fmt.Sprintf("/watch/%s?after=%d&waitMs=%d", key, after, watchWait.Milliseconds())
		status, err := c.do(context.Background(), http.MethodGet, path, nil, watchWait+c.timeout, &o)
		if err == nil && status == http.StatusNoContent {
			err = store.ErrUnchanged
		}
		done(o, err)
	}()
}

// ListNow returns the objects with a prefix.
func (c *Client) ListNow(ctx context.Context, prefix string) ([]store.Object, error) {
	var all []store.Object
	_, err := c.do(ctx, http.MethodGet, "/list?prefix="+url.QueryEscape(prefix), nil, c.timeout, &all)
	return all, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, timeout time.Duration, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "platform request")
	}
	// Without GetBody the transport does not repeat a write on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return resp.StatusCode, decode(resp.StatusCode, value, into)
}

func decode(status int, value []byte, into any) error {
	switch status {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		return errors.Wrap(json.Unmarshal(value, into), "platform answer")
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusConflict:
		return store.ErrConflict
	default:
		return errors.Wrapf(store.ErrUnavailable, "status %d", status)
	}
}
