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
