package estimator_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/estimator"
	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
)

// drawJSON draws a value of JSON, whose strings hold what could be taken for structure.
func drawJSON(t *rapid.T, depth int) any {
	text := rapid.SampledFrom([]string{"", "a", `"`, `\`, `\"`, "[,]", "{}", "\x00é"})
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	switch {
	case kind == 0 || depth == 0:
		return text.Draw(t, "text")
	case kind == 1:
		return rapid.SampledFrom([]any{nil, true, 1.5}).Draw(t, "scalar")
	case kind == 2:
		object := make(map[string]any)
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			object[text.Draw(t, "key")] = drawJSON(t, depth-1)
		}
		return object
	}
	list := make([]any, 0)
	for range rapid.IntRange(0, 3).Draw(t, "elements") {
		list = append(list, drawJSON(t, depth-1))
	}
	return list
}

// count counts the values of a decoded text. An empty list or object counts as one with an element or a member.
func count(value any) (values estimator.Values) {
	add := func(inner estimator.Values) {
		values.Objects += inner.Objects
		values.Lists += inner.Lists
		values.Elements += inner.Elements
		values.Members += inner.Members
	}
	switch v := value.(type) {
	case map[string]any:
		values.Objects, values.Members = 1, max(len(v), 1)
		for _, member := range v {
			add(count(member))
		}
	case []any:
		values.Lists, values.Elements = 1, max(len(v), 1)
		for _, element := range v {
			add(count(element))
		}
	}
	return values
}

// Guards against requests whose values are not counted, which take memory without bound.
func TestValuesOfJSONAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := drawJSON(t, 4)
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if got, err := estimator.JSON(text); err != nil || got != count(value) {
			t.Fatalf("%s: %+v, %v, want %+v", text, got, err, count(value))
		}
	})
}

// Guards against a text that isn't well-formed and of which a decoder makes more values than were counted.
func TestMalformedJSONIsCountedAsFarAsItIsDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SampledFrom([]string{"[", "]", "{", "}", ",", `"`, `\`, `"a":`, "0", "null", `""`}), 0, 40).Draw(t, "pieces")
		text := []byte("[" + strings.Join(pieces, "") + "]")
		values, err := estimator.JSON(text)
		if err != nil {
			t.Fatal(err)
		}
		var decoded []struct{ A []int }
		_ = json.Unmarshal(text, &decoded) // It fails for most texts.
		if len(decoded) > values.Elements {
			t.Fatalf("%s: %d elements were decoded, %d counted", text, len(decoded), values.Elements)
		}
	})
	if _, err := estimator.JSON([]byte(strings.Repeat("[", 1<<20))); !errors.As(err, new(*estimator.DepthError)) {
		t.Errorf("endless nesting: %v", err)
	}
}

// countFields counts the fields of a decoded message.
func countFields(message protoreflect.Message) (fields int) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			for i := range value.List().Len() {
				fields++
				if field.Message() != nil {
					fields += countFields(value.List().Get(i).Message())
				}
			}
		case field.Message() != nil:
			fields += 1 + countFields(value.Message())
		default:
			fields++
		}
		return true
	})
	return fields
}

// Guards against fields of messages that are not counted, however the message is cut into reads.
func TestFieldsOfMessagesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"", "a", strings.Repeat("b", 200)})
		var message proto.Message
		if rapid.Bool().Draw(t, "relay") {
			relay := &hostingv1.RelayRequest{Method: text.Draw(t, "method"), Body: []byte(text.Draw(t, "body")), AgeMs: rapid.Uint64().Draw(t, "age")}
			for range rapid.IntRange(0, 4).Draw(t, "headers") {
				relay.Headers = append(relay.Headers, &hostingv1.Header{Name: text.Draw(t, "name"), Values: rapid.SliceOfN(text, 0, 3).Draw(t, "values")})
			}
			message = relay
		} else {
			exchange := &peerv1.ExchangeRequest{From: &peerv1.Member{Name: text.Draw(t, "from")}, Brief: rapid.Bool().Draw(t, "brief")}
			for range rapid.IntRange(0, 4).Draw(t, "members") {
				exchange.Members = append(exchange.Members, &peerv1.Member{Heartbeat: rapid.Uint64().Draw(t, "heartbeat")})
			}
			message = exchange
		}
		encoded, err := proto.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		fields := estimator.NewFields(message.ProtoReflect().Descriptor())
		got := 0
		for len(encoded) > 0 {
			piece := rapid.IntRange(1, len(encoded)).Draw(t, "piece")
			added, err := fields.Add(encoded[:piece])
			if err != nil {
				t.Fatal(err)
			}
			got += added
			encoded = encoded[piece:]
		}
		if want := countFields(message.ProtoReflect()); got != want {
			t.Fatalf("%d fields, want %d", got, want)
		}
	})
}

// Guards against a message after whose malformed part nothing is counted any more, although a decoder may go on.
func TestMalformedMessagesAreNotCountedOn(t *testing.T) {
	for name, encoded := range map[string][]byte{
		"group":                    {2<<3 | 3, 2<<3 | 4},
		"field zero":               {0, 0},
		"endless number":           {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01},
		"longer than what is left": {1<<3 | 2, 2, 1<<3 | 2, 9},
	} {
		fields := estimator.NewFields((&peerv1.ExchangeRequest{}).ProtoReflect().Descriptor())
		if _, err := fields.Add(encoded); !errors.As(err, new(*estimator.MalformedError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
