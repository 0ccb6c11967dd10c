package platformstore

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// handleObject performs an operation on an object and returns the status and body
// of the response.
func (s *Store) handleObject(r *http.Request, verb, name string) (int, any) {
	switch {
	case r.Method == http.MethodPut && verb == "put":
		return s.putObject(r, name)
	case r.Method == http.MethodGet && verb == "get":
		s.mu.Lock()
		defer s.mu.Unlock()
		content, ok := s.objects[name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, content
	case r.Method == http.MethodDelete && verb == "drop":
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.objects, name)
		return http.StatusOK, nil
	case r.Method == http.MethodGet && verb == "list":
		return http.StatusOK, s.listObjects(r)
	default:
		return http.StatusNotFound, nil
	}
}

func (s *Store) putObject(r *http.Request, name string) (int, any) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	if len(content) > maxObjectBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[name]; exists && r.Header.Get("If-None-Match") == "*" {
		return http.StatusPreconditionFailed, nil
	}
	s.objects[name] = content
	return http.StatusOK, nil
}

// maxNamesPerPage bounds the object names in a response to a list request.
const maxNamesPerPage = 1000

// listObjects returns the first page of the sorted object names with the prefix of
// the query that sort after its parameter "after".
func (s *Store) listObjects(r *http.Request) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	names := make([]string, 0)
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, query.Get("prefix")) && name > query.Get("after") {
			names = append(names, name)
		}
	}
	hasMore := len(names) > maxNamesPerPage
	return map[string]any{"names": names[:min(len(names), maxNamesPerPage)], "has_more": hasMore}
}
