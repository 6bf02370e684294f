package main_test

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// defaultMemory and defaultBody are the default settings of rilld serve.
	defaultMemory = 1 << 30
	defaultBody   = 16 << 20
	// peerBytes is the size of a message of another daemon or an operator.
	peerBytes = 4 << 20
)

// The requests whose parsed form is much larger than what is sent. Each has its length, its elements are as small as they can be.
var (
	emptyMessages = repeatedBody(`{"model":"m","messages":[`, `{},`, `{}]}`)
	emptyParts    = repeatedBody(`{"model":"m","messages":[{"role":"user","content":[`, `{"type":"text","text":""},`, `{"type":"text","text":""}]}]}`)
	tinyParts     = repeatedBody(`{"model":"m","messages":[{"role":"user","content":[`, `{"type":"text","text":"x"},`, `{"type":"text","text":"x"}]}]}`)
	tinyMessages  = repeatedBody(`{"model":"m","messages":[`, `{"role":"u","content":""},`, `{"role":"u","content":""}]}`)
	// bareElements are no messages.
	bareElements = repeatedBody(`{"model":"m","messages":[`, `0,`, `0]}`)
	// bracketText and separatorText grow when they are escaped, and invalidText when it is decoded.
	bracketText   = repeatedBody(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"`, `<`, `"}]}`)
	separatorText = repeatedBody(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"`, "\u2028", `"}]}`)
	invalidText   = repeatedBody(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"`, "\xff", `"}]}`)
	// manyStops and manyBiases are options, which daemons pass on to the engine as they are.
	manyStops  = repeatedBody(`{"model":"m","messages":[{"role":"user","content":"x"}],"stop":[`, `"",`, `""]}`)
	manyBiases = repeatedBody(`{"model":"m","messages":[{"role":"user","content":"x"}],"logit_bias":{`, `"":1,`, `"":1}}`)
)

var serveParsedCases = []hostileCase{
	{"empty messages", "callers", 60, sendContent(chat, emptyMessages, serveBody)},
	{"elements that are no messages", "callers", 60, sendContent(chat, bareElements, serveBody)},
	{"empty parts", "callers", 60, sendContent(chat, emptyParts, serveBody)},
	{"tiny parts", "callers", 60, sendContent(chat, tinyParts, serveBody)},
	{"tiny messages", "callers", 60, sendContent(chat, tinyMessages, serveBody)},
	{"text that grows when escaped", "callers", 160, sendContent(chat, bracketText, serveBody)},
	{"separators that grow when escaped", "callers", 160, sendContent(chat, separatorText, serveBody)},
	{"text that grows when decoded", "callers", 160, sendContent(chat, invalidText, serveBody)},
	{"many stops", "callers", 60, sendContent(chat, manyStops, serveBody)},
	{"many biases", "callers", 60, sendContent(chat, manyBiases, serveBody)},
	{"empty members of peers", "peers", 40, sendMessage(exchange, repeatedField(2, nil), false)},
	{"empty members of peers, compressed", "peers", 40, sendMessage(exchange, repeatedField(2, nil), true)},
	{"empty members of peers in JSON", "peers", 40, sendContent(jsonOf(exchange), repeatedBody(`{"members":[`, `{},`, `{}]}`), peerBytes)},
	{"empty observations of peers", "peers", 40, sendMessage(exchange, sectionOf("targets", repeatedField(1, nil)), false)},
	{"empty usages of peers", "peers", 40, sendMessage(exchange, sectionOf("model_use", repeatedField(1, nil)), false)},
	{"empty strikes of peers", "peers", 40, sendMessage(exchange, sectionOf("crashes", repeatedBody(`{"strikes":[`, `{},`, `{}]}`)), false)},
	{"unknown fields of peers, compressed", "peers", 40, sendMessage(fetchEntries, repeatedField(15, nil), true)},
	{"copies of records", "peers", 40, sendMessage(copyRecord, withField(1, "batch", 2), false)},
	{"unknown topics, compressed", "peers", 40, sendMessage(askTopic, withField(1, "none", 2), true)},
	{"empty accounts of operators", "operators", 40, sendMessage(apply, changeOf(`{"set":{"accounts":[`, `{},`, `{}]}}`), false)},
	{"empty targets of operators, compressed", "operators", 40, sendMessage(apply, changeOf(`{"set":{"targets":[`, `{},`, `{}]}}`), true)},
	{"two kinds of callers at once", "callers", 240, mixed(
		sendContent(chat, emptyMessages, serveBody), sendBody(chat, serveBody, 1, 0), sendBody(chat, 1<<10, 1, 0),
		sendHead("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", 0))},
	{"two accounts at once", "callers", 120, mixed(
		sendContent(chat, tinyParts, serveBody), sendContent(strings.Replace(chat, "demo-key", "other-key", 1), tinyMessages, serveBody))},
}

var frontParsedCases = []hostileCase{
	{"empty fields of watches, compressed", "peers", 40, sendMessage(watch, repeatedField(1, nil), true)},
	{"unknown fields of look-ups, compressed", "peers", 40, sendMessage(find, repeatedField(15, nil), true)},
	{"empty headers of passed on requests", "peers", 40, sendStream(relay, repeatedField(4, nil))},
	{"tiny headers of passed on requests", "peers", 40, sendStream(relay, repeatedField(4, repeatedField(2, nil)(64)))},
	{"tiny fields in heads", "callers", 60, sendFields("a: b\r\n", 0)},
	{"tiny parts of prompts in heads", "callers", 60, sendFields(hostingemulator.PromptHeader+": a:1,b:1,c:1,d:1,e:1,f:1\r\n", 0)},
	{"tiny fields in heads, bodies one byte short", "callers", 60, sendFields("a: b\r\n", 1)},
	{"beginnings of HTTP/2", "callers", 200, func(conn net.Conn, _ *hostile) {
		_ = sendPieces(conn, []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+strings.Repeat("\x00\x00\x08\x06\x00\x00\x00\x00\x00pingping", 8<<10)), 0) // The daemon may end the connection.
	}},
	{"two kinds of callers at once", "callers", 240, mixed(
		sendBody(order, hostileBody, 1, 0), sendChunks(order, 256<<10, hostileBody-1, "", ""), sendFields("a: b\r\n", 1), sendBody(order, 1<<10, 1, 0))},
	{"callers and other daemons at once", "peers", 80, mixed(
		relayMessage(8<<20, 1), sendStream(relay, repeatedField(4, nil)), toCallers(sendBody(order, hostileBody, 1, 0)))},
}

// Guards against clients whose requests are of legal size and need a multiple of it once they are parsed.
func TestParsedRequestsOfServeStayWithinMemory(t *testing.T) {
	checkCases(t, serveParsedCases, startHostileServe)
}

// Guards against the same for rilld front.
func TestParsedRequestsOfFrontStayWithinMemory(t *testing.T) {
	checkCases(t, frontParsedCases, startHostileFront)
}

// Guards against the same with the default settings.
func TestParsedRequestsStayWithinDefaultMemory(t *testing.T) {
	cases := []hostileCase{
		{"empty messages", "callers", 8, sendContent(chat, emptyMessages, defaultBody)},
		{"one text that grows when escaped", "callers", 1, sendContent(chat, bracketText, defaultBody)},
	}
	checkCases(t, cases, func(t *testing.T, folder string) *hostile {
		h := startServe(t, folder, serveHost{memoryBytes: defaultMemory, bodyBytes: defaultBody})
		h.largestBody = serveBody // The service of the test takes no more.
		return h
	})
}

// The heads of messages of other daemons and of operators.
var (
	exchange     = peerMessage
	fetchEntries = strings.Replace(peerMessage, "Exchange", "FetchEntries", 1)
	copyRecord   = strings.Replace(peerMessage, "Exchange", "CopyRecord", 1)
	askTopic     = strings.Replace(peerMessage, "Exchange", "Ask", 1)
	apply        = operatorMessage
	watch        = strings.Replace(peerMessage, "peer.v1.PeerService/Exchange", "hosting.v1.StoreService/Watch", 1)
	find         = strings.Replace(peerMessage, "peer.v1.PeerService/Exchange", "hosting.v1.OriginService/Find", 1)
	relay        = strings.NewReplacer("peer.v1.PeerService/Exchange", "hosting.v1.RelayService/Relay", "application/proto", "application/connect+proto").Replace(peerMessage)
)

func jsonOf(head string) string {
	return strings.Replace(head, "application/proto", "application/json", 1)
}

// sized returns content of about a number of bytes.
type sized func(bytes int) []byte

// repeatedBody returns content that repeats an element between a beginning and an ending.
func repeatedBody(beginning, element, ending string) sized {
	return func(bytes int) []byte {
		count := (bytes - len(beginning) - len(ending)) / len(element)
		return []byte(beginning + strings.Repeat(element, count) + ending)
	}
}

// repeatedField returns a message that repeats a field with the same content.
func repeatedField(number int, content []byte) sized {
	field := binary.AppendUvarint([]byte{byte(number<<3 | 2)}, uint64(len(content)))
	field = append(field, content...)
	return func(length int) []byte { return bytes.Repeat(field, length/len(field)) }
}

// appendField appends a field with content to a message.
func appendField(message []byte, number int, content []byte) []byte {
	message = binary.AppendUvarint(append(message, byte(number<<3|2)), uint64(len(content)))
	return append(message, content...)
}

// fieldBytes is what fields around the content of a message take at most.
const fieldBytes = 64

// withField returns a message with a short field and a long one.
func withField(number int, text string, long int) sized {
	return func(length int) []byte {
		return appendField(appendField(nil, number, []byte(text)), long, make([]byte, length-fieldBytes))
	}
}

// sectionOf returns the message of a daemon with a section that holds content.
func sectionOf(topic string, content sized) sized {
	return func(length int) []byte {
		from := appendField(appendField(appendField(nil, 1, []byte("other")), 3, []byte("127.0.0.1:1")), 4, []byte("sapporo"))
		section := appendField(appendField(nil, 1, []byte(topic)), 2, content(length-fieldBytes))
		return appendField(appendField(nil, 1, from), 4, section)
	}
}

// changeOf returns the message of an operator with a change that repeats an element.
func changeOf(beginning, element, ending string) sized {
	return func(length int) []byte {
		return appendField(nil, 2, repeatedBody(beginning, element, ending)(length-fieldBytes))
	}
}

// sendContent sends a whole request with content as its body.
func sendContent(head string, content sized, length int) hostileClient {
	body := sync.OnceValue(func() []byte { return content(length) })
	return func(conn net.Conn, _ *hostile) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", name(head), len(body())); err == nil {
			_ = sendPieces(conn, body(), 0) // The daemon may end the connection.
		}
	}
}

// sendMessage sends a message, which is compressed or not.
func sendMessage(head string, content sized, compressed bool) hostileClient {
	if !compressed {
		return sendContent(head, content, peerBytes)
	}
	return sendContent(head+"Content-Encoding: gzip\r\n", func(length int) []byte {
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
		_, _ = writer.Write(content(length)) // A buffer takes everything.
		_ = writer.Close()
		return packed.Bytes()
	}, peerBytes)
}

// sendStream sends a message in the envelope of a stream.
func sendStream(head string, content sized) hostileClient {
	return sendContent(head, func(length int) []byte {
		message := content(length)
		return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	}, peerBytes)
}

// sendFields sends a head of short fields, and a body of which the last bytes are left out.
func sendFields(field string, missing int) hostileClient {
	const headBytes, bodyBytes = 800 << 10, 64 << 10
	fields := sync.OnceValue(func() string { return strings.Repeat(field, headBytes/len(field)) })
	return func(conn net.Conn, h *hostile) { sendBody(lookAt+fields(), bodyBytes, missing, 0)(conn, h) }
}

// mixed returns a client that plays one of several in turn.
func mixed(plays ...hostileClient) hostileClient {
	var clients atomic.Int64
	return func(conn net.Conn, h *hostile) { plays[int(clients.Add(1))%len(plays)](conn, h) }
}

// toCallers plays a client at the callers' port, whatever the port of the crowd.
func toCallers(play hostileClient) hostileClient {
	return func(conn net.Conn, h *hostile) {
		callers, err := net.Dial("tcp", h.ports["callers"])
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = callers.Close() }()
			_, _ = conn.Read(make([]byte, 1)) // It ends with the other connection.
		}()
		_ = callers.SetDeadline(time.Now().Add(hostileTime)) // Fails only on a closed connection.
		play(callers, h)
	}
}
