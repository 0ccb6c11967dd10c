package httpsyntaxtest

import (
	"strconv"
	"strings"
)

// head returns the lines of a complete head with a status line and further lines, which are
// separated by line feeds.
func head(statusLine, lines string) string {
	return strings.ReplaceAll(strings.TrimSuffix(statusLine+"\n"+lines, "\n"), "\n", "\r\n") + "\r\n\r\n"
}

func length(body string) string { return "\nContent-Length: " + strconv.Itoa(len(body)) }

// InvalidStatusLines returns responses whose status line is not valid, by name. fields are the
// header lines that all responses have, such as the id of the request, without a line feed at
// the end.
func InvalidStatusLines(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/1.1 101 Switching Protocols", "HTTP/1.0 000 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1x 200 OK", "ICY 200 OK", "200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x1bK", "HTTP/1.1 200 O\x7fK",
	} {
		responses[strconv.Quote(line)] = head(line, fields+length(body)) + body
	}
	return responses
}

// ValidResponse is an unusual response that is valid.
type ValidResponse struct {
	Text   string
	Status int
}

// ValidStatusLines returns responses whose status line is unusual and valid.
func ValidStatusLines(fields, body string) map[string]ValidResponse {
	responses := make(map[string]ValidResponse)
	for line, status := range map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200 \ta \xe4 b": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.9 200 OK": 200, "HTTP/1.1 299 Odd": 299,
		"HTTP/1.1 203 Other": 203, "HTTP/1.1 418 I'm a teapot": 418, "HTTP/1.1 499 Odd": 499,
	} {
		responses[strconv.Quote(line)] = ValidResponse{head(line, fields+length(body)) + body, status}
	}
	return responses
}

// InvalidFields returns responses of which a header or trailer line is not valid.
func InvalidFields(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, line := range []string{
		"X Y: 1", "X-Y : 1", "Transfer-Encoding : chunked", "Content-Length : 1", " X-Y: 1", "X\tY: 1", "X\x00Y: 1", "X\x01Y: 1", "X\x7fY: 1", "X\xe4Y: 1",
		"X(Y): 1", "X@Y: 1", ": 1", " : 1", "X-Y", "X-Y: a\x00b", "X-Y: a\rb", "X-Y: a\x7fb", "X-Y: a\x01b", "X-Y\r: 1",
	} {
		responses["head "+strconv.Quote(line)] = head("HTTP/1.1 200 OK", line+"\n"+fields+length(body)) + body
		responses["interim "+strconv.Quote(line)] = head("HTTP/1.1 103 Early Hints", line) + head("HTTP/1.1 200 OK", fields+length(body)) + body
		responses["trailer "+strconv.Quote(line)] = head("HTTP/1.1 200 OK", fields+"\nTransfer-Encoding: chunked") + chunked(body) + line + "\r\n\r\n"
	}
	responses["chunks behind a blank"] = head("HTTP/1.1 200 OK", fields+"\nTransfer-Encoding : chunked"+length(chunked(body)+"\r\n")) + chunked(body) + "\r\n"
	return responses
}

// chunked returns a body in one chunk, up to where trailers may follow.
func chunked(body string) string {
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n"
}

// CodingOfHTTP10 returns responses with the version HTTP/1.0 and a transfer coding, which it does
// not have.
func CodingOfHTTP10(fields, body string) map[string]string {
	chunks := chunked(body) + "\r\n"
	return map[string]string{
		"coding":            head("HTTP/1.0 200 OK", fields+"\nTransfer-Encoding: chunked") + chunks,
		"coding and length": head("HTTP/1.0 200 OK", fields+"\ntransfer-encoding:chunked"+length(chunks)) + chunks,
		"long head":         head("HTTP/1.0 200 OK", fields+"\nX: "+strings.Repeat("x", 20_000)+"\nTRANSFER-ENCODING: chunked"+length(chunks)) + chunks,
		"without a body":    head("HTTP/1.0 200 OK", fields+"\nTransfer-Encoding: chunked\nContent-Length: 0"),
		"interim before":    head("HTTP/1.1 103 Early Hints", "X: 1") + head("HTTP/1.0 200 OK", fields+"\nTransfer-Encoding: chunked"+length(chunks)) + chunks,
	}
}

// ValidHTTP10 returns valid responses with the version HTTP/1.0. All of them have a length.
func ValidHTTP10(fields, body string) map[string]ValidResponse {
	return map[string]ValidResponse{
		"length":           {head("HTTP/1.0 200 OK", fields+length(body)) + body, 200},
		"keep-alive":       {head("HTTP/1.0 200 OK", fields+"\nConnection: keep-alive"+length(body)) + body, 200},
		"other name":       {head("HTTP/1.0 200 OK", fields+"\nX-Transfer-Encoding: chunked"+length(body)) + body, 200},
		"bytes after head": {head("HTTP/1.0 200 OK", fields+"\nConnection: close"+length(body)) + body + "\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
	}
}

// ValidFields returns responses with unusual header or trailer lines that are valid.
func ValidFields(fields, body string) map[string]ValidResponse {
	responses := make(map[string]ValidResponse)
	for _, line := range []string{
		"!#$%&'*+-.^_`|~09az: 1", "x: ", "X:", "X:1", "X: \t a\tb \t", "X: a\xe4\xffb", "X: a\n  folded", "X: 1\nX: 2", "X: a:b: c", "X" + strings.Repeat("x", 8000) + ": 1",
		"X: " + strings.Repeat("x", 30_000), "Connection: close, x-y\nX-Y: 1",
	} {
		name := strconv.Quote(line[:min(len(line), 40)])
		responses["head "+name] = ValidResponse{head("HTTP/1.1 200 OK", line+"\n"+fields+length(body)) + body, 200}
		responses["interim "+name] = ValidResponse{head("HTTP/1.1 103 Early Hints", line) + head("HTTP/1.1 200 OK", fields+length(body)) + body, 200}
	}
	chunks := head("HTTP/1.1 200 OK", fields+"\nTRANSFER-encoding: Chunked")
	responses["two interim responses"] = ValidResponse{head("HTTP/1.1 100 Continue", "") + head("HTTP/1.1 199 Odd", "X: 1") + head("HTTP/1.1 200 OK", fields+length(body)) + body, 200}
	responses["trailers"] = ValidResponse{chunks + chunked(body) + "x!y: a\xe4\tb\r\nx: \r\n\r\n", 200}
	responses["chunk extensions"] = ValidResponse{chunks + "000" + strings.Replace(chunked(body), "\r\n", ";a=\"b\"\r\n", 1) + "\r\n", 200}
	responses["lines without carriage returns"] = ValidResponse{strings.ReplaceAll(head("HTTP/1.1 200 OK", fields+length(body)), "\r\n", "\n") + body, 200}
	return responses
}
