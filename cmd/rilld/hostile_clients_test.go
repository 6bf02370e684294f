package main_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// serveMemory is the memory of rilld serve in the tests, and serveBody its largest legal body.
	serveMemory = 192e6
	serveBody   = 1 << 20
	// farOver is what clients announce that exceed the limit of bodies, and overSent what they send of it at most.
	farOver  = 1 << 30
	overSent = 16 << 20
	// pieceBytes and piecePause are how slow clients send.
	pieceBytes = 32 << 10
	piecePause = 5 * time.Millisecond
	// headBytes is the length of the heads of clients with long heads. It is below the default limit of net/http.
	headBytes = 900 << 10
)

var frontHostileCases = []hostileCase{
	// Row 1: large bodies.
	{"bodies whole", "callers", 60, sendBody(order, hostileBody, 0, 0)},
	{"bodies in pieces", "callers", 60, sendBody(order, hostileBody, 0, piecePause)},
	{"bodies one byte short", "callers", 60, sendBody(order, hostileBody, 1, 0)},
	{"bodies announced only", "callers", 200, sendBody(order, hostileBody, hostileBody-1, 0)},
	// Row 2: chunked bodies.
	{"large chunks without the last", "callers", 60, sendChunks(order, 256<<10, hostileBody-1, "", "")},
	{"chunks of one byte", "callers", 60, sendChunks(order, 1, 1<<20, "", "")},
	{"chunk extensions", "callers", 60, sendChunks(order, 1<<10, 1<<20, ";"+strings.Repeat("e", 2<<10), "")},
	{"trailers", "callers", 60, sendChunks(order, 256<<10, 1<<20, "", "0\r\n"+strings.Repeat("T: v\r\n", headBytes/6))},
	// Row 3: bodies over the limit.
	{"length far over the limit", "callers", 60, sendBody(order, farOver, farOver-overSent, 0)},
	{"length over the limit, expecting 100", "callers", 60, sendBody(order+"Expect: 100-continue\r\n", farOver, farOver-overSent, 0)},
	{"chunks far over the limit", "callers", 60, sendChunks(order, 1<<20, overSent, "", "")},
	// Row 4: heads, idle connections, pipelining, clients that do not read.
	{"long heads", "callers", 200, sendHead("POST /look/x HTTP/1.1\r\nHost: app.example\r\n", 0)},
	{"slow heads", "callers", 200, sendHead("POST /look/x HTTP/1.1\r\nHost: app.example\r\n", piecePause)},
	{"idle connections", "callers", 2 * hostileDescriptors, idle},
	{"pipelined requests", "callers", 60, pipeline},
	{"large answers not read", "callers", 60, sendBody(lookAt, hostileBody, 0, 0)},
	{"many large answers not read", "callers", 240, sendBody(lookAt, hostileBody, 0, 0)},
	{"streams not read", "callers", 60, sendBody(ask, 1<<20, 0, 0)},
	{"small bodies one byte short", "callers", 2 * hostileDescriptors, sendBody(order, 1<<10, 1, 0)},
	// Row 5: other listeners.
	{"bodies of other daemons", "peers", 40, relayMessage(8<<20, 0)},
	{"bodies of other daemons one byte short", "peers", 40, relayMessage(8<<20, 1)},
	{"long heads of peers", "peers", 200, sendHead("POST /x HTTP/1.1\r\nHost: x\r\n", 0)},
	{"idle connections of peers", "peers", 2 * hostileDescriptors, idle},
	{"long heads at metrics", "metrics", 200, sendHead("GET /metrics HTTP/1.1\r\nHost: x\r\n", 0)},
	{"idle connections at metrics", "metrics", 2 * hostileDescriptors, idle},
	{"idle connections at ready", "ready", 2 * hostileDescriptors, idle},
}

var serveHostileCases = []hostileCase{
	{"bodies whole", "callers", 160, sendBody(chat, serveBody, 0, 0)},
	{"bodies one byte short", "callers", 300, sendBody(chat, serveBody, 1, 0)},
	{"large chunks without the last", "callers", 300, sendChunks(chat, 64<<10, serveBody-1, "", "")},
	{"chunks of one byte", "callers", 100, sendChunks(chat, 1, 200<<10, "", "")},
	{"length far over the limit", "callers", 60, sendBody(chat, farOver, farOver-overSent, 0)},
	{"long heads", "callers", 200, sendHead("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", 0)},
	{"idle connections", "callers", 2 * hostileDescriptors, idle},
	{"small bodies one byte short", "callers", 2 * hostileDescriptors, sendBody(chat, 1<<10, 1, 0)},
	{"small bodies of strangers one byte short", "callers", 2 * hostileDescriptors, sendBody(strings.Replace(chat, "demo-key", "none", 1), 1<<10, 1, 0)},
	{"small bodies for no path one byte short", "callers", 2 * hostileDescriptors, sendBody(strings.Replace(chat, "/v1/", "/", 1), 1<<10, 1, 0)},
	{"messages of peers one byte short", "peers", 60, sendBody(peerMessage, 4<<20, 1, 0)},
	{"messages of operators one byte short", "operators", 60, sendBody(operatorMessage, 4<<20, 1, 0)},
	{"idle connections of peers", "peers", 2 * hostileDescriptors, idle},
	{"idle connections of operators", "operators", 2 * hostileDescriptors, idle},
}

// The heads of hostile requests, without the fields that tell the length of the body.
const (
	order  = "POST /order/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nAuthorization: Token key\r\nX-Deadline-Ms: 4000\r\n"
	lookAt = "POST /look/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nAuthorization: Token key\r\nX-Deadline-Ms: 4000\r\n"
	ask    = "POST /ask/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nAuthorization: Token key\r\nX-Deadline-Ms: 4000\r\n" +
		"X-Model: m\r\nX-Token-Count: 300,6\r\nX-Prompt-Prefix: ab:200,cd:100\r\n"
	peerMessage     = "POST /peer.v1.PeerService/Exchange HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\nConnect-Protocol-Version: 1\r\nX-Name: %s\r\n"
	operatorMessage = "POST /operator.v1.OperatorService/Apply HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\nConnect-Protocol-Version: 1\r\nX-Name: %s\r\n"
	chat            = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nX-Name: %s\r\nContent-Type: application/json\r\n"
)

// name returns a head with an identity of its own.
func name(head string) string {
	return strings.Replace(head, "%s", fmt.Sprint("h", ordinaryCount.Add(1)), 1)
}

// sendBody sends a request with a length, of which the last bytes are left out.
func sendBody(head string, length, missing int, pause time.Duration) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", name(head), length)
		if err == nil {
			_ = sendPieces(conn, content(head, min(length, length-missing), missing == 0), pause) // The daemon may end the connection.
		}
	}
}

// content returns the bytes of a body: JSON if the head says so and the body is whole.
func content(head string, length int, whole bool) []byte {
	body := bytes.Repeat([]byte("x"), length)
	if strings.Contains(head, "json") {
		copy(body, `{"model": "m", "max_tokens": 5, "messages": [{"role": "user", "content": "`)
		if ending := `"}]}`; whole {
			copy(body[length-len(ending):], ending)
		}
	}
	return body
}

func sendPieces(conn net.Conn, body []byte, pause time.Duration) (err error) {
	for len(body) > 0 && err == nil {
		n := min(len(body), pieceBytes)
		_, err = conn.Write(body[:n])
		body = body[n:]
		time.Sleep(pause)
	}
	return err
}

// sendChunks sends a request with a body of equal chunks, each with an extension, and then an ending in place of the last chunk.
func sendChunks(head string, chunk, length int, extension, ending string) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		if _, err := io.WriteString(conn, name(head)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		one := fmt.Appendf(nil, "%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("x", chunk))
		several := max(pieceBytes/len(one), 1)
		piece := bytes.Repeat(one, several)
		for sent := 0; sent+several*chunk <= length; sent += several * chunk {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, ending) // The daemon may end the connection.
	}
}

// sendHead sends the beginning of a long head that does not end.
func sendHead(beginning string, pause time.Duration) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		line := "X-Long: " + strings.Repeat("h", 1<<10) + "\r\n"
		if _, err := io.WriteString(conn, beginning); err == nil {
			_ = sendPieces(conn, []byte(strings.Repeat(line, headBytes/len(line))), pause) // The daemon may end the connection.
		}
	}
}

// idle opens a connection, and sends nothing.
func idle(net.Conn, *hostile) {}

// pipeline sends many requests on one connection and reads no answer.
func pipeline(conn net.Conn, _ *hostile) {
	body := strings.Repeat("x", 8<<10)
	for range 500 {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", name(lookAt), len(body), body); err != nil {
			return
		}
	}
}

// relayMessage sends a request as another daemon passes it on, with a body of which the last bytes are left out.
func relayMessage(length, missing int) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		const path = "/hosting.v1.RelayService/Relay"
		var message []byte
		for i, field := range []string{"POST", "/look/x", "app.example"} {
			message = append(message, byte((i+1)<<3|2), byte(len(field)))
			message = append(message, field...)
		}
		message = append(message, 5<<3|2)
		message = binary.AppendUvarint(message, uint64(length))
		envelope := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)+length))
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+proto\r\nConnect-Protocol-Version: 1\r\nContent-Length: %d\r\n\r\n%s%s",
			path, len(envelope)+len(message)+length, envelope, message)
		if err == nil {
			_ = sendPieces(conn, make([]byte, length-missing), 0) // The daemon may end the connection.
		}
	}
}

// sendBytes sends the beginning of a head.
func sendBytes(beginning string) hostileClient {
	return func(conn net.Conn, _ *hostile) {
		_, _ = io.WriteString(conn, name(beginning)) // The daemon may end the connection.
	}
}
