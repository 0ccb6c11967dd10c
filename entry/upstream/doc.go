// Package upstream sends requests to backend servers over HTTP/1.1 connections
// that it keeps.
//
// It never repeats a request. Each outcome says whether the request may have
// run, and no byte of an answer is handed on before the id of the answer was
// compared and the whole body is there. Connections whose state is in doubt are
// closed.
package upstream
