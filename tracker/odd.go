package tracker

import "maps"

// oddEntries remembers which entries could not be read, so that one of a busy writer is logged once and not with each
// heartbeat. The entry is forgotten when its key is deleted or has a sound value.
type oddEntries struct{ keys map[string]bool }

// isNew records that the entry of a key cannot be read. It reports whether the entry before could.
func (o *oddEntries) isNew(key string) bool {
	if o.keys == nil {
		o.keys = make(map[string]bool)
	}
	known := o.keys[key]
	o.keys[key] = true
	return !known
}

func (o *oddEntries) forget(key string) { delete(o.keys, key) }

// retain forgets the entries of all other keys.
func (o *oddEntries) retain(present map[string]bool) {
	maps.DeleteFunc(o.keys, func(key string, _ bool) bool { return !present[key] })
}

// maxErrorBytes limits the text of an error in the log, since it may quote the entry.
const maxErrorBytes = 200

func shortText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxErrorBytes)]
}
