// Package platformserver serves in-memory platform services in the wire formats
// of the platform adapters, with an admin end point that sets faults.
package platformserver

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/httpclient"
	"github.com/cassiawind/cassiawind/platform/httpobjects"
	"github.com/cassiawind/cassiawind/platform/httptable"
	"github.com/cassiawind/cassiawind/platform/httpvms"
	"github.com/cassiawind/cassiawind/platform/memory"
)

// Bounds of request bodies in bytes.
const (
	maxTransactBytes = 16 << 20
	maxObjectBytes   = 128 << 20
	maxAdminBytes    = 4 << 20
)

const (
	headerContentType = "Content-Type"
	typeJSON          = "application/json"
)

// NewTable serves a table.
func NewTable(t *memory.Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+httptable.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.URL.Query().Get(httptable.ParamKey))
		answer(w, row, err)
	})
	mux.HandleFunc(http.MethodGet+" "+httptable.PathRows, func(w http.ResponseWriter, r *http.Request) {
		rows, err := t.Scan(r.Context(), r.URL.Query().Get(httptable.ParamPrefix))
		answer(w, httptable.Rows{Rows: rows}, err)
	})
	mux.HandleFunc(http.MethodPost+" "+httptable.PathTransact, func(w http.ResponseWriter, r *http.Request) {
		var req httptable.TransactRequest
		if !decode(w, r, maxTransactBytes, &req) {
			return
		}
		versions, err := t.Transact(r.Context(), req.Writes)
		answer(w, httptable.TransactResponse{Versions: versions}, err)
	})
	return mux
}

// NewObjects serves an object store.
func NewObjects(o *memory.Objects) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+httpobjects.PathObject, func(w http.ResponseWriter, r *http.Request) {
		content, err := o.Get(r.Context(), r.URL.Query().Get(httpobjects.ParamName))
		if err != nil {
			refuse(w, err)
			return
		}
		_, _ = w.Write(content)
	})
	mux.HandleFunc(http.MethodPut+" "+httpobjects.PathObject, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			notApplied(w, http.StatusBadRequest, err)
			return
		}
		if err := o.Put(r.Context(), r.URL.Query().Get(httpobjects.ParamName), content); err != nil {
			refuse(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// NewVMs serves a VM list.
func NewVMs(v *memory.VMs) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+httpvms.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := v.List(r.Context())
		answer(w, httpvms.List{VMs: vms}, err)
	})
	return mux
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func refuse(w http.ResponseWriter, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, httptable.Conflict{Keys: conflict.Keys})
	case errors.Is(err, platform.ErrNotFound):
		writeJSON(w, http.StatusNotFound, httpclient.Refusal{Code: httpclient.CodeNotFound})
	case errors.Is(err, platform.ErrUnavailable):
		notApplied(w, http.StatusServiceUnavailable, err)
	default:
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
}

func notApplied(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, httpclient.Refusal{Code: httpclient.CodeNotApplied, Detail: err.Error()})
}

func decode(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v)
	if err != nil {
		notApplied(w, http.StatusBadRequest, err)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set(headerContentType, typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
