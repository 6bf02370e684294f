// Package estimator counts the values in encoded requests before they are decoded. A value that takes two or three bytes in a request can
// take a hundred times as many once it is decoded, so the length of a request doesn't bound the memory for it.
//
// # Usage
//
// A request in JSON is counted as a whole:
//
//	values, err := estimator.JSON(body)
//	if err != nil || values.Elements > limit {
//		return err // Nothing was decoded.
//	}
//
// A message in the protocol buffers' format is counted as it is read:
//
//	fields := estimator.NewFields(method.Input())
//	for {
//		n, err := body.Read(buffer)
//		added, err := fields.Add(buffer[:n]) // A MalformedError if no daemon encodes a message in this way.
//	}
package estimator
