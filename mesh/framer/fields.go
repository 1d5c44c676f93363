package framer

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// CheckFields returns ErrMalformed if a field name in the text of a head of HTTP/1.1 is not a token; net/http accepts names with a blank and lines that
// continue the one before.
//
// Such a line may be a framing field to another reader, to which the message has another body.
func CheckFields(head []byte) error {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(fields) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}
