package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result is a client's request and what it got.
type result struct {
	id      string
	daemon  string
	model   bool
	sentAt  time.Time
	endedAt time.Time
	status  int
	seal    string
	echo    string
	leaving bool
	replica string
	body    string
	err     error
}

// client sends requests on kept channels.
type client struct {
	w    *world
	http *http.Client

	mu      sync.Mutex
	results []result
	open    sync.WaitGroup
}

func (w *world) newClient() *client {
	return &client{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second, DisableCompression: true}}}
}

// send sends one request to a daemon, with a part of a prompt that others share if it is one to a model.
func (c *client) send(d *daemon, model bool, part string) { c.sendAs(clientKey, d, model, part) }

// sendAs is send with a key.
func (c *client) sendAs(key string, d *daemon, model bool, part string) {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+c.w.ids.Add(1))
	route, deadline := "order", "600"
	if model {
		route, deadline = "ask", "4000"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+d.front.String()+"/"+route+"/2f", strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", deadline)
	request.Header.Set("Authorization", "Token "+key)
	if model {
		request.Header.Set("X-Model", modelName)
		request.Header.Set("X-Token-Count", "500,5")
		request.Header.Set("X-Prompt-Prefix", part+":400,"+id[8:]+":100")
	}
	c.w.note("sent", "id", id, "daemon", d.name, "route", route)
	r := result{id: id, daemon: d.name, model: model, sentAt: time.Now()}
	response, err := c.http.Do(request)
	if err == nil {
		r.status, r.seal, r.echo = response.StatusCode, response.Header.Get("X-Response-Seal"), response.Header.Get("X-Request-Id")
		r.leaving = response.Header.Get("Server-Leaving") != ""
		var body []byte
		body, err = io.ReadAll(response.Body)
		r.body = string(body)
		_ = response.Body.Close()
	}
	r.endedAt, r.err = time.Now(), err
	text := ""
	if err != nil {
		text = err.Error()
	}
	c.w.note("answered", "id", id, "status", r.status, "seal", r.seal, "echo", r.echo, "bytes", len(r.body), "error", text)
	c.mu.Lock()
	c.results = append(c.results, r)
	c.mu.Unlock()
}

// load sends requests to the daemons in turn at a rate for some time.
func (c *client) load(daemons []*daemon, perSecond int, length time.Duration, model func(n int) bool) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-end:
			c.open.Wait()
			return
		case <-ticker.C:
		}
		c.open.Go(func() { c.send(daemons[n%len(daemons)], model(n), fmt.Sprintf("5c1e%04x", n%40)) })
	}
}

func (c *client) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}
