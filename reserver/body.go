package reserver

import (
	"context"
	"io"
)

// firstStepBytes is how much of a body without a known length is reserved first.
const firstStepBytes = 4 << 10

// Body reads the body of a request within a Share. A body without a known length is reserved in steps.
type Body struct {
	// Reader is the body.
	Reader io.Reader
	// Length is the number of bytes, or negative if it is not known. Then a copy is made at the end, which counts too.
	Length int64
	// Copies is how often the request holds the body once it has arrived. Default: 1.
	Copies int
	Share  *Share
}

// FirstBytes returns how much has to be acquired for a body before its first byte is read.
func FirstBytes(length int64) int {
	if length < 0 {
		return 2 * firstStepBytes
	}
	return int(length)
}

// copies returns how often the body is held while it is read.
func (b Body) copies() int { return max(b.Copies, 1) }

// ReadAll reads the whole body. It returns a FullError if there is no memory for the rest of it, or none any more.
func (b Body) ReadAll(ctx context.Context) (content []byte, err error) {
	if b.Length >= 0 {
		content = make([]byte, b.Length)
		err = b.fill(content)
	} else {
		content, err = b.readSteps(ctx)
	}
	if b.Share.Evicted() || err == nil && !b.Share.Complete(b.copies()*len(content)) {
		return nil, &FullError{RetryAfter: minRetryAfter, Stalled: true}
	}
	if err != nil {
		return nil, err
	}
	return content, nil
}

// fill reads until the buffer is full.
func (b Body) fill(buffer []byte) (err error) {
	for len(buffer) > 0 {
		n, err := b.Reader.Read(buffer)
		b.Share.Received(n)
		buffer = buffer[n:]
		if err == io.EOF && len(buffer) > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
	return nil
}

// readSteps reads a body whose length is not known. Each step is as large as all before together.
func (b Body) readSteps(ctx context.Context) (content []byte, err error) {
	var parts [][]byte
	part := make([]byte, 0, firstStepBytes)
	for {
		n, err := b.Reader.Read(part[len(part):cap(part)])
		b.Share.Received(n)
		part = part[:len(part)+n]
		if err == io.EOF {
			return joinParts(append(parts, part)), nil
		}
		if err != nil {
			return nil, err
		}
		if len(part) < cap(part) {
			continue
		}
		parts = append(parts, part)
		step := min(max(sizeOf(parts), minPartBytes), maxPartBytes)
		if err := b.Share.Grow(ctx, max(b.copies(), 2)*step); err != nil {
			return nil, err
		}
		part = make([]byte, 0, step)
	}
}

func joinParts(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	content := make([]byte, 0, sizeOf(parts))
	for _, part := range parts {
		content = append(content, part...)
	}
	return content
}
