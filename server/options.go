package server

import (
	"bytes"
	"encoding/json"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// wireOptions are the fields that only the engine interprets. They are passed to it unchanged.
type wireOptions struct {
	Temperature       json.RawMessage `json:"temperature,omitempty"`
	TopP              json.RawMessage `json:"top_p,omitempty"`
	TopK              json.RawMessage `json:"top_k,omitempty"`
	MinP              json.RawMessage `json:"min_p,omitempty"`
	Seed              json.RawMessage `json:"seed,omitempty"`
	Stop              json.RawMessage `json:"stop,omitempty"`
	PresencePenalty   json.RawMessage `json:"presence_penalty,omitempty"`
	FrequencyPenalty  json.RawMessage `json:"frequency_penalty,omitempty"`
	RepetitionPenalty json.RawMessage `json:"repetition_penalty,omitempty"`
	LogitBias         json.RawMessage `json:"logit_bias,omitempty"`
	ResponseFormat    json.RawMessage `json:"response_format,omitempty"`
	User              json.RawMessage `json:"user,omitempty"`
}

// wireUnsupported are fields that ask for more than a text answer. Requests that use them are
// refused, since a text answer alone would be incomplete.
type wireUnsupported struct {
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Logprobs  json.RawMessage `json:"logprobs"`
	Audio     json.RawMessage `json:"audio"`
}

// encodeOptions returns the options as one JSON object, or an empty string if there are none.
func (o wireOptions) encodeOptions() (options string, refusal *refuser.Refusal) {
	encoded, err := encoder.JSON(o)
	if err != nil {
		return "", refuser.New(refuser.CodeBadRequest, "the sampling fields cannot be read").WithCause(err)
	}
	if string(encoded) == "{}" {
		return "", nil
	}
	return string(encoded), nil
}

// checkUnsupported returns a refusal for the first unsupported field that the request uses, or nil
// if it uses none.
func (u wireUnsupported) checkUnsupported() *refuser.Refusal {
	fields := []struct {
		name  string
		value json.RawMessage
	}{
		{"tools", u.Tools}, {"functions", u.Functions}, {"logprobs", u.Logprobs}, {"audio", u.Audio},
	}
	for _, field := range fields {
		if isRequested(field.value) {
			return refuser.New(refuser.CodeBadRequest, "the field %s is not supported", field.name)
		}
	}
	return nil
}

// isRequested reports whether a field asks for its feature: null, false and an empty list do not.
func isRequested(value json.RawMessage) bool {
	for _, off := range []string{"", "null", "false", "[]"} {
		if bytes.Equal(value, []byte(off)) {
			return false
		}
	}
	return true
}
