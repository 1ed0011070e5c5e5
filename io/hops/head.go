package hops

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
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

// addField checks the name and the value of a field. A name that is no token would be dropped, or read in another way
// by the next client: net/http does not see a length in "Content-Length : 5". A folded line has no name; a gateway may
// reject it (RFC 9112, section 5.2).
func (f *framing) addField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("field name %q of the response is not a token", name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Errorf("value of field %q of the response has control bytes", name)
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

// chunkedBody is a body in chunks with the trailer that follows it. net/http would accept a trailer with blanks in and
// before its names.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	// err ended the trailer, io.EOF at its regular end.
	err error
}

func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = readTrailer(b.r)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *chunkedBody) Close() error { return nil }

// readTrailer reads and checks a trailer of at most MaxHeadBytes, and returns io.EOF at its regular end.
func readTrailer(r *bufio.Reader) error {
	var f framing
	for left := MaxHeadBytes; left > 0; {
		raw, err := r.ReadSlice('\n')
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return errors.Wrap(err, "trailer")
		}
		line, _, _ := cutLine(raw)
		if len(line) == 0 {
			return io.EOF
		}
		if err := f.addField(line); err != nil {
			return errors.Wrap(err, "trailer")
		}
		left -= len(raw)
	}
	return errors.Wrap(ErrHeadTooLong, "trailer")
}
