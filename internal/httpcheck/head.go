// Package httpcheck checks answers more strictly than net/http, which accepts heads that are none of HTTP/1.1 and takes
// any end of a connection for the end of a body that has no other.
package httpcheck

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrHeadMalformed means that a status line or header is not one of HTTP/1.1, so that the end of the body is not known
// either.
var ErrHeadMalformed = errors.New("head of the answer malformed")

// The range of status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// Head checks the head of an answer as net/http has parsed it.
func Head(resp *http.Response) error {
	if err := checkStatusLine(resp); err != nil {
		return err
	}
	return FieldNames(resp.Header)
}

// RawHead checks the head of an answer by its bytes, with which raw begins, and returns its size. The bytes show what
// net/http has corrected or left out.
func RawHead(resp *http.Response, raw []byte) (size int, err error) {
	if err := checkStatusLine(resp); err != nil {
		return 0, err
	}
	for line := range bytes.Lines(raw) {
		first := size == 0
		size += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if first {
			continue
		}
		if len(line) == 0 {
			break
		}
		if err := checkField(resp, line); err != nil {
			return size, err
		}
	}
	return size, nil
}

func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: protocol %q", ErrHeadMalformed, resp.Proto)
	}
	// No request asks for another protocol, which is what 101 would begin.
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrHeadMalformed, resp.StatusCode)
	}
	return nil
}

// checkField checks a line of a header. A line that begins with a blank would go on with the value of the line before.
func checkField(resp *http.Response, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return fmt.Errorf("%w: name of a field %q", ErrHeadMalformed, shorten(string(name)))
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return fmt.Errorf("%w: value of field %q", ErrHeadMalformed, shorten(string(name)))
	case !resp.ProtoAtLeast(1, 1) && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return fmt.Errorf("%w: transfer encoding in %s", ErrHeadMalformed, resp.Proto)
	}
	return nil
}

// FieldNames checks the names of the fields of a header or trailer that was parsed.
func FieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name of a field %q", ErrHeadMalformed, shorten(name))
		}
	}
	return nil
}

// shorten limits what a log line or error text shows of a malformed field.
func shorten(text string) string {
	const shown = 40
	return text[:min(len(text), shown)]
}
