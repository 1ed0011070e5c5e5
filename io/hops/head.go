package hops

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// checkHead returns an error for a response head that net/http accepts although it is not valid HTTP/1.1.
func checkHead(head []byte) error {
	_, fields, _ := cutLine(head)
	for {
		line, rest, ok := cutLine(fields)
		if !ok || len(line) == 0 {
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
		fields = rest
	}
}

// cutLine returns the first line of a head without its end.
func cutLine(head []byte) (line, rest []byte, ok bool) {
	line, rest, ok = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest, ok
}

// checkField checks the name of a field. Such a field would be dropped, or read in another way by the next client:
// net/http does not see a length in "Content-Length : 5". A folded line has no name; a gateway may reject it
// (RFC 9112, section 5.2).
func checkField(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("field name %q of the response is not a token", name)
	}
	return nil
}
