package mirror

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// RequestCopy is a copied request for a mirror target. Its type differs from that of requests to live
// workers, and its content is accessible only to Delivery.Send, which writes it to a
// TargetConnection.
type RequestCopy struct {
	method, target string
	fields         []HeaderField
	body           []byte
}

// HeaderField is an HTTP header field.
type HeaderField struct{ Name, Value []byte }

// Request is a real request as received. Its slices are kept by reference, so the caller must not
// change or reuse them afterwards.
type Request struct {
	Method, Target []byte
	Fields         []HeaderField
	Body           []byte
}

// TargetConnection is a connection to a mirror target. The networking code implements it with a type that is
// not used for live workers. ShadowAddress returns the address to which the connection leads.
type TargetConnection interface {
	io.Writer
	ShadowAddress() string
}

const (
	copyCostBytes  = 200 // memory of a copy beside its texts, in bytes
	fieldCostBytes = 48  // memory of a header field beside its texts, in bytes
)

// neverCopied lists the headers that hold credentials, belong to one connection, or are written
// anew for the copy. All X-Foxwood-… headers are removed too.
var neverCopied = []string{"authorization", "proxy-authorization", "proxy-authenticate", "set-cookie", "connection", "keep-alive", "proxy-connection",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect", "x-api-key"}

// newCopy copies a request without the headers and cookies that must not reach a mirror target.
func (o *Rule) newCopy(request *Request) RequestCopy {
	result := RequestCopy{method: string(request.Method), target: string(request.Target), body: request.Body}
	var connectionHeaders [][]byte // names in the request's Connection header
	for _, field := range request.Fields {
		if bytes.EqualFold(field.Name, []byte("connection")) {
			connectionHeaders = append(connectionHeaders, bytes.Split(field.Value, []byte{','})...)
		}
	}
	for _, field := range request.Fields {
		name := strings.ToLower(string(field.Name))
		switch {
		case slices.Contains(neverCopied, name), strings.HasPrefix(name, "x-foxwood-"):
		case slices.ContainsFunc(o.ExcludedHeaders, func(h string) bool { return strings.EqualFold(h, name) }):
		case slices.ContainsFunc(connectionHeaders, func(h []byte) bool { return bytes.EqualFold(bytes.TrimSpace(h), field.Name) }):
		case name == "cookie":
			if kept := keptCookies(field.Value, o.KeptCookies); len(kept) > 0 {
				result.fields = append(result.fields, HeaderField{field.Name, kept})
			}
		default:
			result.fields = append(result.fields, field)
		}
	}
	return result
}

// keptCookies returns the Cookie header reduced to the cookies to keep.
func keptCookies(header []byte, keep []string) (result []byte) {
	for pair := range bytes.SplitSeq(header, []byte{';'}) {
		pair = bytes.Trim(pair, " \t")
		k, _, _ := bytes.Cut(pair, []byte{'='})
		if slices.Contains(keep, string(k)) {
			if result != nil {
				result = append(result, "; "...)
			}
			result = append(result, pair...)
		}
	}
	return result
}

// Bytes returns the memory that the copy takes.
func (c *RequestCopy) Bytes() int {
	n := copyCostBytes + len(c.method) + len(c.target) + len(c.body)
	for _, f := range c.fields {
		n += fieldCostBytes + len(f.Name) + len(f.Value)
	}
	return n
}

// MarshalBinary encodes the copy for the transfer to another gatekeeper. The format is
// deliberately not HTTP.
func (c RequestCopy) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, c.Bytes())
	data = appendText(appendText(data, c.method), c.target)
	data = binary.AppendUvarint(data, uint64(len(c.fields)))
	for _, f := range c.fields {
		data = appendText(appendText(data, f.Name), f.Value)
	}
	return appendText(data, c.body), nil
}

// appendText appends a text with its length.
func appendText[T string | []byte](b []byte, t T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(t))), t...)
}

var errMalformedCopy = errors.New("mirror: copied request is truncated or has trailing bytes")

// UnmarshalBinary decodes the format of MarshalBinary.
func (c *RequestCopy) UnmarshalBinary(data []byte) error {
	data = slices.Clone(data) // the decoder reuses its buffer
	malformed := false
	readLength := func() int {
		n, used := binary.Uvarint(data)
		if used <= 0 || n > uint64(len(data)) {
			malformed = true
			return 0
		}
		data = data[used:]
		return int(n)
	}
	readText := func() []byte {
		n := readLength()
		if n > len(data) {
			malformed = true
			return nil
		}
		t := data[:n:n]
		data = data[n:]
		return t
	}
	*c = RequestCopy{method: string(readText()), target: string(readText())}
	for n := readLength(); n > 0 && !malformed; n-- {
		c.fields = append(c.fields, HeaderField{readText(), readText()})
	}
	if c.body = readText(); len(c.body) == 0 {
		c.body = nil
	}
	if malformed || len(data) > 0 {
		return errMalformedCopy
	}
	return nil
}

// Send writes the copy as an HTTP/1.1 request with the X-Foxwood-Shadow headers. It writes at most
// once, and returns an error if the connection does not lead to the delivery's address.
func (d *Delivery) Send(connection TargetConnection) error {
	if d.sent {
		return fmt.Errorf("mirror: delivery %d was sent before; a copy is sent at most once", d.ID)
	}
	if !sameAddress(connection.ShadowAddress(), d.Address) {
		return fmt.Errorf("mirror: connection leads to %s, want mirror target %s", connection.ShadowAddress(), d.Address)
	}
	d.sent = true
	copied := &d.copy
	message := make([]byte, 0, copied.Bytes()+len(d.head)+128)
	message = fmt.Appendf(message, "%s %s HTTP/1.1\r\n", copied.method, copied.target)
	for _, f := range copied.fields {
		message = fmt.Appendf(message, "%s: %s\r\n", f.Name, f.Value)
	}
	message = append(message, d.head...)
	message = append(message, "X-Foxwood-Expect-Worker: a-shadow\r\n"...) // a live worker answers 421 without running the request
	if len(copied.body) > 0 || copied.method != "GET" && copied.method != "HEAD" {
		message = fmt.Appendf(message, "Content-Length: %d\r\n", len(copied.body))
	}
	message = append(message, "Connection: close\r\n\r\n"...)
	message = append(message, copied.body...)
	_, err := connection.Write(message)
	return err
}
