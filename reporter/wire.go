package reporter

import (
	"encoding/json"
	"time"
)

type wireBatch struct {
	Daemon       string      `json:"daemon"`
	Incarnation  string      `json:"incarnation"`
	DataCentre   string      `json:"data_centre"`
	Sequence     uint64      `json:"sequence"`
	Version      uint64      `json:"version"`
	FromUnixMS   int64       `json:"from_unix_ms"`
	ToUnixMS     int64       `json:"to_unix_ms"`
	MinuteUnixMS int64       `json:"minute_unix_ms"`
	Final        bool        `json:"final,omitempty"`
	Entries      []wireEntry `json:"entries,omitempty"`
}

type wireEntry struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	UntilUnixMS int64  `json:"until_unix_ms"`
	Account     string `json:"account,omitempty"`
	Kind        string `json:"kind"`
	Code        string `json:"code,omitempty"`
	Run         string `json:"run,omitempty"`
	Target      string `json:"target,omitempty"`
	Count       int    `json:"count"`
	Open        bool   `json:"open,omitempty"`
}

func encodeBatch(b *Batch) (data []byte, err error) {
	defer Error.WrapP(&err)
	wire := wireBatch{
		Daemon:       b.Daemon,
		Incarnation:  b.Incarnation,
		DataCentre:   b.DataCentre,
		Sequence:     b.Sequence,
		Version:      b.Version,
		FromUnixMS:   b.From.UnixMilli(),
		ToUnixMS:     b.To.UnixMilli(),
		MinuteUnixMS: b.keyMinute.UnixMilli(),
		Final:        b.Final,
	}
	for _, entry := range b.Entries {
		wire.Entries = append(wire.Entries, wireEntry{
			TimeUnixMS:  entry.Time.UnixMilli(),
			UntilUnixMS: entry.Until.UnixMilli(),
			Account:     entry.Account,
			Kind:        string(entry.Kind),
			Code:        entry.Code,
			Run:         string(entry.Run),
			Target:      entry.Subject,
			Count:       entry.Count,
			Open:        entry.Open,
		})
	}
	return json.Marshal(wire)
}

func decodeBatch(data []byte) (batch Batch, err error) {
	defer Error.WrapP(&err)
	var wire wireBatch
	if err := json.Unmarshal(data, &wire); err != nil {
		return Batch{}, err
	}
	batch = Batch{
		Daemon:      wire.Daemon,
		Incarnation: wire.Incarnation,
		DataCentre:  wire.DataCentre,
		Sequence:    wire.Sequence,
		Version:     wire.Version,
		From:        time.UnixMilli(wire.FromUnixMS).UTC(),
		To:          time.UnixMilli(wire.ToUnixMS).UTC(),
		Final:       wire.Final,
		keyMinute:   time.UnixMilli(wire.MinuteUnixMS).UTC(),
	}
	for _, entry := range wire.Entries {
		batch.Entries = append(batch.Entries, Entry{
			Time:       time.UnixMilli(entry.TimeUnixMS).UTC(),
			Until:      time.UnixMilli(entry.UntilUnixMS).UTC(),
			Daemon:     wire.Daemon,
			DataCentre: wire.DataCentre,
			Account:    entry.Account,
			Kind:       Kind(entry.Kind),
			Code:       entry.Code,
			Run:        Run(entry.Run),
			Subject:    entry.Target,
			Count:      entry.Count,
			Open:       entry.Open,
		})
	}
	return batch, nil
}
