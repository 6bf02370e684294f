package server

import (
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/refuser"
)

const (
	// http2Streams bounds the requests that a connection carries at once.
	http2Streams = 100
	// http2BufferBytes bounds what a connection of HTTP/2 may send before it is read. Its streams share it.
	http2BufferBytes = 256 << 10
	// http2FrameBytes is the size of the largest frame. A frame has a buffer of its size as soon as it is announced.
	http2FrameBytes = 16 << 10
	// streamRetryAfter is when a caller may come back for whose request over HTTP/2 there was no memory.
	streamRetryAfter = time.Second
)

// newHTTP2Config returns the bounds of each connection of HTTP/2. The drainer and Settings.Memory bound all of them together.
func newHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          http2Streams,
		MaxReadFrameSize:              http2FrameBytes,
		MaxReceiveBufferPerConnection: http2BufferBytes,
		MaxReceiveBufferPerStream:     http2BufferBytes,
		WriteByteTimeout:              answerTimeout,
	}
}

// refuseStream refuses a request over HTTP/2 for which there is no memory.
func (s *Server) refuseStream(w http.ResponseWriter, _ *http.Request) {
	s.writeRefusal(w, "", refuser.New(refuser.CodeNoMemory, "the daemon has no memory for the request").WithRetryAfter(streamRetryAfter))
}
