package encoder

import (
	"bytes"
	"encoding/json"
)

// JSON returns the JSON of a value. Unlike json.Marshal, it doesn't escape characters that have a meaning in HTML, which would make text up
// to six times as long.
func JSON(value any) (data []byte, err error) {
	defer Error.WrapP(&err)
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}
