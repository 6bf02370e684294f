package main_test

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// streams is how many streams a client opens on its connection.
	streams = 250
	// longFields and longFieldBytes are the fields of long heads.
	longFields, longFieldBytes = 150, 100
	// frameBytes is the size of the largest frame that every server has to take.
	frameBytes = 16 << 10
)

var http2Cases = []hostileCase{
	{"long heads, bodies one byte short", "callers", 60, overHTTP2(openStreams(streams, longFields, 1<<10, 1))},
	{"bodies one byte short", "callers", 100, overHTTP2(openStreams(streams, 0, 1<<10, 1))},
	{"large bodies one byte short", "callers", 60, overHTTP2(openStreams(4, 0, serveBody, 1))},
	{"long heads without bodies", "callers", 60, overHTTP2(openStreams(streams, longFields, 0, 0))},
	{"streams opened and reset", "callers", 60, overHTTP2(resetStreams(2000))},
	{"heads that do not end", "callers", 200, overHTTP2(endlessHead)},
	{"announced frames", "callers", 200, overHTTP2(announceFrame)},
	{"answers never read", "callers", 100, overHTTP2(closedWindow(openStreams(streams, longFields, 0, 0)))},
	{"refusals never read", "callers", 100, overHTTP2(closedWindow(openStreams(streams, longFields, serveBody+1, serveBody)))},
	{"pings never read", "callers", 200, overHTTP2Unread(repeatFrame(func(f *http2.Framer) error { return f.WritePing(false, [8]byte{}) }))},
	{"settings never read", "callers", 200, overHTTP2Unread(repeatFrame(func(f *http2.Framer) error { return f.WriteSettings() }))},
	{"idle connections", "callers", 2 * hostileDescriptors, overHTTP2(func(*http2Client) {})},
	{"half of a handshake", "callers", 2 * hostileDescriptors, halfHandshake},
	{"half of a handshake at the operators' port", "operators", 2 * hostileDescriptors, halfHandshake},
	{"empty messages", "callers", 60, overTLS(sendContent(chat, emptyMessages, serveBody))},
	{"two protocols at once", "callers", 120, mixed(
		overHTTP2(openStreams(streams, longFields, 1<<10, 1)), overTLS(sendBody(chat, serveBody, 1, 0)),
		overTLS(sendContent(chat, emptyMessages, serveBody)))},
}

// Guards against clients of HTTP/2, whose connections hold many requests each, as in TestHostileClientsOfServe.
func TestHostileClientsOverHTTP2(t *testing.T) {
	checkCases(t, http2Cases, startEncryptedServe)
}

// http2Client is a connection of HTTP/2, after its preface.
type http2Client struct {
	conn   net.Conn
	framer *http2.Framer
	head   *hpack.Encoder
	block  bytes.Buffer
	nextID uint32
}

// overTLS plays a client on an encrypted connection.
func overTLS(play hostileClient) hostileClient {
	return func(conn net.Conn, h *hostile) { play(tls.Client(conn, &tls.Config{InsecureSkipVerify: true}), h) }
}

// overHTTP2 plays a client of HTTP/2 that reads all answers.
func overHTTP2(play func(*http2Client)) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		if c := dialHTTP2(conn); c != nil {
			go func() { _, _ = io.Copy(io.Discard, c.conn) }() // It ends with the connection.
			play(c)
		}
	}
}

// overHTTP2Unread plays a client of HTTP/2 that reads nothing.
func overHTTP2Unread(play func(*http2Client)) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		if c := dialHTTP2(conn); c != nil {
			play(c)
		}
	}
}

// dialHTTP2 returns a client on the connection, or nil if the daemon ended it.
func dialHTTP2(conn net.Conn) *http2Client {
	encrypted := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if encrypted.Handshake() != nil {
		return nil
	}
	c := &http2Client{conn: encrypted, framer: http2.NewFramer(encrypted, encrypted), nextID: 1}
	c.head = hpack.NewEncoder(&c.block)
	if _, err := io.WriteString(encrypted, http2.ClientPreface); err != nil {
		return nil
	}
	if c.framer.WriteSettings() != nil {
		return nil
	}
	return c
}

// open opens a stream with further fields in its head.
func (c *http2Client) open(fields int, length int, last bool) (id uint32, err error) {
	c.block.Reset()
	field := func(name, value string) {
		_ = c.head.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true}) // A buffer takes everything.
	}
	field(":method", "POST")
	field(":scheme", "https")
	field(":path", "/v1/chat/completions")
	field(":authority", "x")
	field("authorization", "Bearer demo-key")
	if length > 0 {
		field("content-length", fmt.Sprint(length))
	}
	for i := range fields {
		field(fmt.Sprint("x-field-", i), strings.Repeat("h", longFieldBytes))
	}
	id = c.nextID
	c.nextID += 2
	block := c.block.Bytes()
	first := block[:min(len(block), frameBytes)]
	block = block[len(first):]
	err = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndStream: last, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		next := block[:min(len(block), frameBytes)]
		block = block[len(next):]
		err = c.framer.WriteContinuation(id, len(block) == 0, next)
	}
	return id, err
}

// openStreams opens streams with bodies of which the last bytes are left out.
func openStreams(count, fields, length, missing int) func(*http2Client) {
	return func(c *http2Client) {
		for range count {
			id, err := c.open(fields, length, length == 0)
			for left := length - missing; err == nil && left > 0; left -= frameBytes {
				err = c.framer.WriteData(id, left <= frameBytes && missing == 0, make([]byte, min(left, frameBytes)))
			}
			if err != nil {
				return // The daemon has ended the connection.
			}
		}
	}
}

// resetStreams opens streams and resets each at once.
func resetStreams(count int) func(*http2Client) {
	return func(c *http2Client) {
		for range count {
			id, err := c.open(longFields, 0, false)
			if err != nil || c.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				return // The daemon has ended the connection.
			}
		}
	}
}

// endlessHead begins a stream, and then another one whose head goes on and on.
func endlessHead(c *http2Client) {
	if _, err := c.open(0, 1<<10, false); err != nil {
		return
	}
	c.block.Reset()
	_ = c.head.WriteField(hpack.HeaderField{Name: "x-a", Value: "b", Sensitive: true}) // A buffer takes everything.
	fields := bytes.Repeat(c.block.Bytes(), 1<<10/c.block.Len())
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: c.nextID, BlockFragment: fields})
	for sent := 0; err == nil && sent < headBytes; sent += len(fields) {
		err = c.framer.WriteContinuation(c.nextID, false, fields)
	}
}

// announceFrame begins the largest frame that the daemon may take, and sends nothing of its content.
func announceFrame(c *http2Client) {
	id, err := c.open(0, serveBody, false)
	if err == nil {
		const length = 1<<20 - 1
		_, _ = c.conn.Write([]byte{length >> 16, length >> 8 & 0xff, length & 0xff, byte(http2.FrameData), 0, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)}) // The daemon may end the connection.
	}
}

// closedWindow plays a client whose streams may not get any byte of an answer.
func closedWindow(play func(*http2Client)) func(*http2Client) {
	return func(c *http2Client) {
		if c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}) == nil {
			play(c)
		}
	}
}

// repeatFrame sends the same frame many times, some of them at once.
func repeatFrame(write func(*http2.Framer) error) func(*http2Client) {
	const frames, atOnce = 64, 1 << 10
	return func(c *http2Client) {
		var piece bytes.Buffer
		framer := http2.NewFramer(&piece, nil)
		for range atOnce {
			_ = write(framer) // A buffer takes everything.
		}
		for range frames {
			if _, err := c.conn.Write(piece.Bytes()); err != nil {
				return // The daemon has ended the connection.
			}
		}
	}
}

// halfHandshake sends the beginning of a record of a TLS handshake.
func halfHandshake(conn net.Conn, _ *hostile) {
	_, _ = conn.Write([]byte{22, 3, 1, 2, 0, 1, 0, 1}) // The daemon may end the connection.
}
