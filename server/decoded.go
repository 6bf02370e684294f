package server

import (
	"context"
	"errors"
	"unicode/utf8"

	"github.com/rosemaryrill/rosemaryrill/estimator"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

const (
	// elementBytes is what an element of a list in a chat, such as a message or a part of one, holds beside its text while it is decoded and
	// encoded again.
	elementBytes = 256
	// replacementGrowth is by how many bytes a byte grows that is not UTF-8: decoding replaces it by U+FFFD.
	replacementGrowth = 2
)

// takeDecoded takes memory for what decoding a chat adds to its body. It returns a refusal if the chat has more elements than the limit, or
// if there is no memory.
func (s *Server) takeDecoded(ctx context.Context, body []byte, share *reserver.Share) *refuser.Refusal {
	values, err := estimator.JSON(body)
	if err != nil {
		return refuser.New(refuser.CodeBadRequest, "the body cannot be decoded: %v", err)
	}
	if values.Elements > s.settings.MaxListElements {
		return refuser.New(refuser.CodeBadRequest,
			"the lists in the body have %d elements together, such as messages and their parts; limits.max_list_elements is %d", values.Elements, s.settings.MaxListElements)
	}
	bytes := elementBytes * values.Elements
	if !utf8.Valid(body) {
		bytes += replacementGrowth * chatCopies * len(body)
	}
	err = share.GrowDecoded(ctx, bytes)
	var full *reserver.FullError
	var tooLarge *reserver.TooLargeError
	switch {
	case errors.As(err, &full):
		return noMemory(full)
	case errors.As(err, &tooLarge):
		return refuser.New(refuser.CodeTooLarge, "%v", tooLarge)
	}
	return nil
}
