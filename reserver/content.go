package reserver

import "io"

const (
	// minPartBytes and maxPartBytes bound the parts in which ReadAll reads.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// ReadAll reads an answer within the budget, as Reader.ReadAll does, and counts nothing of it afterwards.
func (b *Budget) ReadAll(reader io.Reader, limit int64) (content []byte, err error) {
	r := b.Reader(reader)
	defer func() { _ = r.Close() }() // It returns no error.
	return r.ReadAll(limit)
}

// ReadAll reads an answer to its end, or up to a number of bytes. It returns no content with an error, which is an
// ExceededError if the budget doesn't allow for the answer. Unlike io.ReadAll it copies nothing of an answer that breaks off,
// and the one copy of a complete answer counts too, so the memory in use follows the budget.
func (r *Reader) ReadAll(limit int64) (content []byte, err error) {
	var parts [][]byte
	for {
		left := limit - int64(sizeOf(parts))
		if left <= 0 {
			return r.join(parts)
		}
		part, err := r.fill(make([]byte, min(int64(nextPartBytes(parts)), left)))
		parts = append(parts, part)
		if err == io.EOF {
			return r.join(parts)
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until a buffer is full. It returns what it read, and io.EOF only if the answer is complete.
func (r *Reader) fill(buffer []byte) (filled []byte, err error) {
	read := 0
	for read < len(buffer) {
		n, err := r.Read(buffer[read:])
		read += n
		if err != nil {
			return buffer[:read], err
		}
	}
	return buffer, nil
}

// nextPartBytes returns the size of the next part: as large as all before together, within bounds.
func nextPartBytes(parts [][]byte) int {
	return min(max(sizeOf(parts), minPartBytes), maxPartBytes)
}

func sizeOf(parts [][]byte) (size int) {
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// join returns the parts as one slice. The memory for it is reserved while the parts are held too.
func (r *Reader) join(parts [][]byte) (content []byte, err error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	size := sizeOf(parts)
	held, reserved := r.reserve(size)
	if !reserved {
		return nil, &ExceededError{Held: held}
	}
	content = make([]byte, 0, size)
	for _, part := range parts {
		content = append(content, part...)
	}
	r.Hold(size)
	return content, nil
}
