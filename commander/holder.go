package commander

import (
	"crypto/rand"
	"encoding/json"
)

// wireHolder is the value of the leader key.
type wireHolder struct {
	Daemon  string `json:"daemon"`
	Fencing uint64 `json:"fencing"`
	Nonce   string `json:"nonce"`
}

// encodeHolder returns a value for the leader key that no other lease has.
func encodeHolder(daemon string, fencingToken uint64) []byte {
	value, err := json.Marshal(wireHolder{Daemon: daemon, Fencing: fencingToken, Nonce: rand.Text()})
	if err != nil {
		panic(err) // Strings and numbers always have a JSON form.
	}
	return value
}

// decodeFencingToken returns the fencing token in the value of the leader key, or zero if it names none.
func decodeFencingToken(value []byte) uint64 {
	var holder wireHolder
	if json.Unmarshal(value, &holder) != nil {
		return 0
	}
	return holder.Fencing
}
