package hops_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

const (
	okLine  = "HTTP/1.1 200 OK\r\n"
	idField = idHeader + ": a\r\n"
)

// expectBroken checks that none of some answers passes, whether the server keeps the connection or closes it.
func expectBroken(t *testing.T, answers map[string]string) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, address := range []string{listenScript(c, []string{answer}), listenAndCut(c, answer)} {
				r := get(newPool(), address, "a")
				c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%q: %v, response %+v", answer, r.err, r.resp))
			}
		})
	}
}

// expectWhole checks that answers pass with the body "whole". The server closes the connection.
func expectWhole(t *testing.T, answers map[string]string) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			expectBody(c, get(newPool(), listenAndCut(c, answer), "a"), "whole")
		})
	}
}

func TestFieldNamesAreTokens(t *testing.T) {
	answers := map[string]string{}
	for _, field := range []string{
		"X Bad: 1", "X-Bad : 1", " X-Bad: 1", " : 1",
		"X\tBad: 1", "X-Bad\t: 1", "\tX-Bad: 1", "\t: 1",
		"X\x00Bad: 1", "X\x01Bad: 1", "X\x1fBad: 1", "X\x7fBad: 1", "\x01X-Bad: 1", "\x00: 1", "X-Bad\x01: 1", "X-Bad\x7f: 1", "X-Bad\r: 1", "\rX-Bad: 1",
		": 1", "X-Bad",
		"X\rBad: 1", "X-B\xc3\xa4d: 1", "X(Bad): 1", "X/Bad: 1",
		"Content-Length : 5", "Content-Length\t: 5", "Content-Length\x01: 5", "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Content Length: 5",
	} {
		answers["first "+field] = okLine + field + "\r\n" + idField + "Content-Length: 5\r\n\r\nwhole"
		answers["last "+field] = okLine + idField + "Content-Length: 5\r\n" + field + "\r\n\r\nwhole"
		answers["line feeds "+field] = "HTTP/1.1 200 OK\n" + idHeader + ": a\nContent-Length: 5\n" + field + "\n\nwhole"
		answers["informational "+field] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
		answers["of another "+field] = okLine + idHeader + ": b\r\nContent-Length: 5\r\n" + field + "\r\n\r\nother" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
	}
	for _, first := range []string{" X-Bad: 1", "\tX-Bad: 1", " ", "\t"} {
		answers["after a field "+first] = okLine + idField + "X-Good: 1\r\n" + first + "\r\nContent-Length: 5\r\n\r\nwhole"
	}
	answers["length with a blank"] = okLine + idField + "Content-Length : 5\r\n\r\nwhole"
	answers["encoding with a blank"] = okLine + idField + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	expectBroken(t, answers)
	expectWhole(t, map[string]string{
		"lower case":   okLine + "x-id: a\r\ncontent-length: 5\r\n\r\nwhole",
		"odd tokens":   okLine + idField + "!#$%&'*+-.^_`|~09: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"empty values": okLine + idField + "X-Empty:\r\nContent-Length:5\r\n\r\nwhole",
		"blank values": okLine + idField + "X-Blank: \t a b \t\r\nContent-Length: \t5 \r\n\r\nwhole",
		"line feeds":   "HTTP/1.1 200 OK\n" + idHeader + ": a\nContent-Length: 5\n\nwhole",
	})
}

func TestFieldValuesHaveNoControlBytes(t *testing.T) {
	answers := map[string]string{}
	for _, value := range []string{"\x00", "a\x01b", "\x1f", "\x7f", "a\rb"} {
		answers[value] = okLine + idField + "Content-Length: 5\r\nX-Bad: " + value + "\r\n\r\nwhole"
	}
	expectBroken(t, answers)
	expectWhole(t, map[string]string{"other bytes": okLine + idField + "X: \xe4\xff\tb\r\nContent-Length: 5\r\n\r\nwhole"})
}

func TestStatusLinesAreValid(t *testing.T) {
	answers := map[string]string{}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2 0 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x1 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1.1", "HTTP/1.1 OK", "200 OK",
	} {
		answers[line] = line + "\r\n" + idField + "Content-Length: 5\r\n\r\nwhole"
		answers["no body "+line] = line + "\r\n" + idField + "Content-Length: 0\r\n\r\n"
		answers["no length "+line] = line + "\r\n" + idField + "\r\nwhole"
		answers["before the answer "+line] = line + "\r\n\r\n" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
		answers["of another "+line] = line + "\r\n" + idHeader + ": b\r\nContent-Length: 5\r\n\r\nother" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
	}
	expectBroken(t, answers)
	expectWhole(t, map[string]string{
		"reason":           "HTTP/1.1 200 It\tis \xe4 OK\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"empty reason":     "HTTP/1.1 200 \r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"no reason":        "HTTP/1.1 200\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"version 1.0":      "HTTP/1.0 200 OK\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"version 1.2":      "HTTP/1.2 200 OK\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"first status":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okLine + idField + "Content-Length: 5\r\n\r\nwhole",
		"last status":      "HTTP/1.1 599 Odd\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"unnamed status":   "HTTP/1.1 299 Odd\r\n" + idField + "Content-Length: 5\r\n\r\nwhole",
		"without a length": okLine + idField + "\r\nwhole",
	})
}

func TestLengthsAreValid(t *testing.T) {
	answers := map[string]string{}
	for _, fields := range []string{
		"Content-Length: -5", "Content-Length: +5", "Content-Length: 5a", "Content-Length: 0x5", "Content-Length: 5 5", "Content-Length: 5.0",
		"Content-Length: 5, 6", "Content-Length:", "Content-Length: 5\r\nContent-Length: 6", "Content-Length: 99999999999999999999",
		"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding:",
		"Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked",
		"transfer-encoding: chunked\r\ncontent-length: 15",
	} {
		for _, status := range []string{"200 OK", "204 No Content", "304 Not Modified", "500 Error"} {
			answers[status+" "+fields] = "HTTP/1.1 " + status + "\r\n" + idField + fields + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
		}
	}
	for _, fields := range []string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5", "Transfer-Encoding: gzip"} {
		answers["version 1.0 "+fields] = "HTTP/1.0 200 OK\r\n" + idField + fields + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	}
	for _, fields := range []string{"Transfer-Encoding: chunked", "Content-Length: 5", "Content-Length: 0x"} {
		answers["no content "+fields] = "HTTP/1.1 204 No Content\r\n" + idField + fields + "\r\n\r\n"
		answers["informational "+fields] = "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n\r\n" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
	}
	for _, chunk := range []string{
		"-5\r\nwhole\r\n", "+5\r\nwhole\r\n", "0x5\r\nwhole\r\n", "5g\r\nwhole\r\n", "\r\nwhole\r\n", " 5\r\nwhole\r\n", "5\nwhole\r\n", "5\r\nwhole!\r\n", "5\r\nwhole\n",
		"5\r\nwhole", "6\r\nwhole\r\n", "4\r\nwhole\r\n", "00000000000000005\r\nwhole\r\n", "5\rx\nwhole\r\n",
	} {
		answers["chunk "+chunk] = okLine + idField + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
	}
	expectBroken(t, answers)
	expectWhole(t, map[string]string{
		"leading zeros":    okLine + idField + "Content-Length: 0005\r\n\r\nwhole",
		"equal lengths":    okLine + idField + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks":           okLine + idField + "Transfer-Encoding: Chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
		"chunk extensions": okLine + idField + "Transfer-Encoding: chunked\r\n\r\n05;a=\"b\"\r\nwhole\r\n000;c\r\n\r\n",
		"chunks of errors": "HTTP/1.1 500 Error\r\n" + idField + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	})

	c := qt.New(t)
	for _, fields := range []string{"", "Content-Length: 0\r\n"} {
		expectBody(c, get(newPool(), listenScript(c, []string{"HTTP/1.1 204 No Content\r\n" + idField + fields + "\r\n"}), "a"), "")
		expectBody(c, get(newPool(), listenScript(c, []string{"HTTP/1.1 304 Not Modified\r\n" + idField + "Content-Length: 5\r\n\r\n"}), "a"), "")
	}
	longest := okLine + idField + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nwhole"
	c.Assert(errors.Is(get(newPool(), listenAndCut(c, longest), "a").err, world.ErrBroken), qt.IsTrue)
}

func TestTrailersAreValid(t *testing.T) {
	const chunks = okLine + idField + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	answers := map[string]string{}
	for _, fields := range []string{"X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", "X\tBad: 1", "X\x01Bad: 1", "\x01X-Bad: 1", "X-Bad\x7f: 1", " X-Bad: 1", "\tX-Bad: 1", "X-Good: 1\r\n X-Bad: 1", "X-Bad", ": 1", "X-Bad: \x00"} {
		answers["field "+fields] = chunks + fields + "\r\n\r\n"
		answers["of another "+fields] = okLine + idHeader + ": b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n\r\n" + okLine + idField + "Content-Length: 5\r\n\r\nwhole"
	}
	expectBroken(t, answers)
	expectWhole(t, map[string]string{
		"fields":    chunks + "X-Good: 1\r\nx-more: 2\r\n\r\n",
		"announced": strings.Replace(chunks, "Transfer", "Trailer: X-Good, X-None\r\nTransfer", 1) + "X-Good: 1\r\n\r\n",
	})
	c := qt.New(t)
	long := strings.Repeat("p", 0xbb8)
	r := get(newPool(), listenAndCut(c, okLine+idField+"Transfer-Encoding: chunked\r\n\r\nbb8\r\n"+long+"\r\n0\r\nX Bad: 1\r\n\r\n"), "a")
	_, err := readAll(r)
	c.Assert(err, qt.IsNotNil)
}

// TestErrorsOfBrokenResponsesAreShort checks the texts of errors, which are logged.
func TestErrorsOfBrokenResponsesAreShort(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("p", 20<<10)
	for _, fields := range []string{long, long + " : 1", "X-Bad: \x01" + long, "Content-Length: " + long} {
		r := get(newPool(), listenAndCut(c, okLine+idField+fields+"\r\n\r\n"), "a")
		c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue)
		c.Assert(len(r.err.Error()) < 300, qt.IsTrue, qt.Commentf("%d bytes", len(r.err.Error())))
	}
}
