package bluebelldoor_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// datedByRequest are the ages that do not change with the wait of a message: they count from
// the sending of the request to which it replies.
var datedByRequest = map[string]bool{"Delta.EvidenceAgeMs": true}

// TestAddAge guards against an age in a message that is taken as of its reading: each field
// whose name says that it is an age becomes older by the wait, and each time that is left
// shorter.
func TestAddAge(t *testing.T) {
	const wait, before = 3 * time.Second, 10_000
	message := &bluebelldoor.ExchangeMessage{}
	fill(reflect.ValueOf(message).Elem(), before)
	message.AddAge(wait)
	ages := 0
	check := func(path string, value int64) {
		switch name := path[strings.LastIndex(path, ".")+1:]; {
		case datedByRequest[path]:
			assert.Equal(t, value, int64(before), path)
		case strings.HasSuffix(name, "AgeMs"):
			ages++
			assert.Equal(t, value, before+wait.Milliseconds(), path)
		case name == "ForMs":
			assert.Equal(t, value, before-wait.Milliseconds(), path)
		default:
			assert.Equal(t, value, int64(before), path)
		}
	}
	visit(reflect.ValueOf(message).Elem(), "", check)
	assert.Equal(t, ages, 5)
	message.AddAge(time.Hour)
	assert.Equal(t, message.Delta.Retained.ForMs, int64(0))
}

// fill sets all whole numbers below v, with one entry in each list.
func fill(v reflect.Value, n int64) {
	switch v.Kind() {
	case reflect.Int64:
		v.SetInt(n)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	}
}

// visit calls f for all 64-bit numbers below v.
func visit(v reflect.Value, path string, f func(string, int64)) {
	switch v.Kind() {
	case reflect.Int64:
		f(path, v.Int())
	case reflect.Pointer:
		visit(v.Elem(), path, f)
	case reflect.Slice:
		visit(v.Index(0), path, f)
	case reflect.Struct:
		for i := range v.NumField() {
			visit(v.Field(i), strings.TrimPrefix(path+"."+v.Type().Field(i).Name, "."), f)
		}
	}
}
