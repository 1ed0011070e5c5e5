package hops

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// checkHead returns an error for a response head that net/http accepts although it is not valid HTTP/1.1.
func checkHead(head []byte) error {
	statusLine, fields, _ := cutLine(head)
	if err := checkStatusLine(string(statusLine)); err != nil {
		return err
	}
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

// Status codes of responses, from RFC 9110, section 15. Upgrades are never asked for, so no response switches
// protocols.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatusLine checks the version, the status and the reason. net/http accepts any version and any three bytes
// that strconv.Atoi reads as a number of 0 or more. A status below 200 would pass for an interim response, after
// which the final one is awaited.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return errors.Errorf("version %q of the response is not HTTP/1", version)
	}
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Errorf("status %q of the response is not valid", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return errors.Errorf("reason %q of the response has control bytes", reason)
	}
	return nil
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
