package platformstore

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// object performs a call about a raw object.
func (s *Store) object(r *http.Request, verb, name string) (int, any) {
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

// maxNames is the largest number of names in an answer.
const maxNames = 1000

func (s *Store) listObjects(r *http.Request) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	names := make([]string, 0)
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			names = append(names, name)
		}
	}
	more := len(names) > maxNames
	return map[string]any{"names": names[:min(len(names), maxNames)], "has_more": more}
}
