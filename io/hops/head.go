package hops

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// checkHead returns an error for a response head that net/http accepts although it is not valid HTTP/1.1.
func checkHead(head []byte) error {
	statusLine, fields, _ := cutLine(head)
	f := framing{}
	var err error
	if f.version, f.status, err = parseStatusLine(string(statusLine)); err != nil {
		return err
	}
	for {
		line, rest, ok := cutLine(fields)
		if !ok || len(line) == 0 {
			return f.check()
		}
		if err := f.addField(line); err != nil {
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

// parseStatusLine checks the version, the status and the reason. net/http accepts any version and any three bytes
// that strconv.Atoi reads as a number of 0 or more. A status below 200 would pass for an interim response, after
// which the final one is awaited.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return "", 0, errors.Errorf("version %q of the response is not HTTP/1", version)
	}
	number, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || number < minStatus || number > maxStatus || number == http.StatusSwitchingProtocols {
		return "", 0, errors.Errorf("status %q of the response is not valid", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return "", 0, errors.Errorf("reason %q of the response has control bytes", reason)
	}
	return version, int(number), nil
}

// framing is what decides where a response ends.
type framing struct {
	version                string
	status                 int
	hasEncoding, hasLength bool
	// hasBody means that a length is not 0.
	hasBody bool
}

// addField checks the name of a field. Such a field would be dropped, or read in another way by the next client:
// net/http does not see a length in "Content-Length : 5". A folded line has no name; a gateway may reject it
// (RFC 9112, section 5.2).
func (f *framing) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("field name %q of the response is not a token", name)
	}
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength = true
		f.hasBody = f.hasBody || len(bytes.Trim(value, " \t0")) > 0
	}
	return nil
}

// check returns an error if the fields contradict each other or do not fit the version or the status (RFC 9112,
// sections 6.1 to 6.3). net/http checks the value of each and then ignores one of them.
func (f *framing) check() error {
	hasNoBody := f.status < http.StatusOK || f.status == http.StatusNoContent
	switch {
	case f.hasEncoding && f.hasLength:
		return errors.New("response has a length and a transfer encoding")
	case f.hasEncoding && f.version == "HTTP/1.0":
		return errors.New("response of HTTP/1.0 has a transfer encoding")
	case hasNoBody && (f.hasEncoding || f.hasBody):
		return errors.Errorf("response with status %d has a body", f.status)
	}
	return nil
}

// chunkedBody is a body in chunks with the trailer that follows it.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. Names of trailer fields are checked like those of the head.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name, values := range b.resp.Trailer {
		// Fields that were announced and not sent have no values.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return n, errors.Errorf("field name %q of the trailer is not a token", name)
		}
	}
	return n, io.EOF
}
