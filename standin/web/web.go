// Package web holds what the stand-ins' HTTP handlers have in common.
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

// MaxBodyBytes bounds the body of a request to a stand-in.
const MaxBodyBytes = 4 << 20

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteTagged answers with a JSON body and its entity tag, or says that the body
// with the tag of the request is still the current one.
func WriteTagged(w http.ResponseWriter, r *http.Request, body any) {
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

// Decode decodes JSON and refuses unknown fields.
func Decode(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), "decoding the body")
}

// ReadJSON decodes the body of a request and refuses unknown fields. It answers
// and returns false if the body is not what into expects.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := Decode(http.MaxBytesReader(w, r.Body, MaxBodyBytes), into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Refuse answers that an upstream did not run a request.
func Refuse(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, port.Refusal{NotRun: true, Reason: reason})
}
