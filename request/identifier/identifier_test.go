package identifier_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/identifier"
)

var secret = []byte("secret")

func ExampleTarget() {
	id := identifier.New(secret, "clinic", "engine-1")
	target, ok := identifier.Target(secret, "clinic", id)
	fmt.Println(target, ok)
	_, ok = identifier.Target(secret, "another-account", id)
	fmt.Println(ok)
	// Output:
	// engine-1 true
	// false
}

func TestTarget(t *testing.T) {
	id := identifier.New(secret, "clinic", "engine-1")
	for name, bad := range map[string]string{
		"empty": "", "one part": "engine-1", "another target": strings.Replace(id, "engine-1", "engine-2", 1),
		"truncated": id[:len(id)-1], "four parts": id + "~x",
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := identifier.Target(secret, "clinic", bad)
			assert.Assert(t, !ok)
		})
	}
}

func FuzzTarget(f *testing.F) {
	f.Add(identifier.New(secret, "clinic", "engine-1"))
	f.Fuzz(func(_ *testing.T, id string) {
		_, _ = identifier.Target(secret, "clinic", id)
	})
}
