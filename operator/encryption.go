package operator

import (
	"bytes"
	"io"
	"net/http"
)

// encryptedAnswer is how package net/http answers a request without TLS at a port that speaks it.
var encryptedAnswer = []byte("Client sent an HTTP request to an HTTPS server.")

// encryptionChecker returns an EncryptedPortError for a call without TLS to a port that speaks it.
type encryptionChecker struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c *encryptionChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusBadRequest || response.ProtoAtLeast(1, 1) {
		return response, err
	}
	beginning := make([]byte, len(encryptedAnswer))
	read, _ := io.ReadFull(response.Body, beginning) // A short answer is another one.
	if !bytes.Equal(beginning[:read], encryptedAnswer) {
		response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(beginning[:read]), response.Body), Closer: response.Body}
		return response, nil
	}
	_ = response.Body.Close() // Nothing of the answer is needed.
	return nil, &EncryptedPortError{}
}

// joinedBody is a body of which a part has been read.
type joinedBody struct {
	io.Reader
	io.Closer
}
