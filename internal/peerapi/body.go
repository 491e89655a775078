package peerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"reflect"

	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/jsonvalue"
)

const (
	// bufferFactor is the memory of the buffers for each byte of a body.
	bufferFactor = 2
	// objectBytes is the memory for each object in an element of a list.
	objectBytes = 320
)

// decodedBytes returns the memory that a valid body with count elements of the given type takes. In lists
// of empty elements it is more than bodyFactor for each byte.
func decodedBytes(body []byte, count int, element reflect.Type) int64 {
	n := int64(len(body))*bufferFactor + int64(max(bytes.Count(body, []byte("{"))-count, 0))*objectBytes
	if element != nil {
		size := int64(count) * int64(element.Size())
		n += size + size/8 // an allocation is rounded up by an eighth at most
	}
	return n
}

// reserveDecoded reserves what a valid body takes in addition to what is reserved for its bytes, and returns the value to decode into. A list has room for all elements, so that it does not grow.
func reserveDecoded[T any](r *http.Request, body []byte) (in T, err error) {
	count := 0
	for range jsonvalue.Of(body).Elements() {
		count++
	}
	var element reflect.Type
	list := reflect.ValueOf(&in).Elem()
	if list.Kind() == reflect.Slice {
		element = list.Type().Elem()
	}
	if err := guard.Reserve(r.Context(), max(decodedBytes(body, count, element)-int64(len(body))*bodyFactor, 0)); err != nil {
		return in, err
	}
	if element != nil {
		list.Set(reflect.MakeSlice(list.Type(), 0, count))
	}
	return in, nil
}

// decodeBody decodes the body of a call. If the body is malformed, it responds with
// status 400, and if there is no memory for it with status 503, or 413 if there will never be.
func decodeBody[T any](h *Handler, w http.ResponseWriter, r *http.Request) (in T, ok bool) {
	body, err := readBody(r)
	if err == nil {
		in, err = reserveDecoded[T](r, body)
	}
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&in)
	}
	switch {
	case errors.Is(err, guard.ErrNoMemory):
		guard.Refuse(w, h.Clock())
	case errors.Is(err, guard.ErrTooLarge):
		http.Error(w, "body: it has too many elements for the memory", http.StatusRequestEntityTooLarge)
	case err != nil:
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return in, err == nil
}

// readBody reads a body and checks that it is JSON.
func readBody(r *http.Request) (body []byte, err error) {
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxBodyBytes {
		b.Grow(int(r.ContentLength) + bytes.MinRead) // its memory is reserved
	}
	if _, err := b.ReadFrom(r.Body); err != nil {
		return nil, err
	}
	if !json.Valid(b.Bytes()) {
		return nil, errors.New("not valid JSON")
	}
	return b.Bytes(), nil
}
