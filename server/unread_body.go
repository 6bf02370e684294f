package server

import (
	"io"
	"net/http"
	"time"
)

// unreadBodyTimeout is how long the rest of a body may take to arrive whose request was refused before the body was read. Until then its
// connection is kept, and the refusal waits.
const unreadBodyTimeout = 2 * time.Second

// requestBody tells whether a request's body was read to its end.
type requestBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// limitUnreadBodies bounds how long package net/http waits for the rest of a body that a handler has not read.
func limitUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.ContentLength == 0 || r.ProtoMajor > 1 {
			next.ServeHTTP(w, r)
			return
		}
		body := &requestBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.ended {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // Writers of tests have none.
		}
	})
}
