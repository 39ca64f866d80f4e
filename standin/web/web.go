// Package web provides the reading and writing of JSON bodies that the stand-ins'
// HTTP handlers share.
package web

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// MaxBodyBytes bounds the size of a request body that ReadJSON accepts.
const MaxBodyBytes = 4 << 20

// WriteJSON answers with a status and a body encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteWithETag answers with a body encoded as JSON and its ETag. If the
// request's If-None-Match is this tag, it answers with status 304 and no body.
func WriteWithETag(w http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// Decode decodes a JSON value. It returns an error for unknown fields.
func Decode(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), "decoding the body")
}

// EchoAttempt repeats the header field port.HeaderAttempt of each request in its response.
func EchoAttempt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempt := r.Header.Get(port.HeaderAttempt); attempt != "" {
			w.Header().Set(port.HeaderAttempt, attempt)
		}
		next.ServeHTTP(w, r)
	})
}

// ReadJSON decodes the JSON body of a request. If the body is too large, invalid or
// has unknown fields, it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := Decode(http.MaxBytesReader(w, r.Body, MaxBodyBytes), into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteRefusal answers with a refusal that says that the upstream did not run
// the request, and why.
func WriteRefusal(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, port.Refusal{NotRun: true, Reason: reason})
}
