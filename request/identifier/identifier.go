// Package identifier creates and parses generation IDs. An ID names its target,
// so that any VM can resume the generation, and carries a keyed digest over its
// client account, so that no other account can use it.
package identifier

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	separator  = "~"
	nonceBytes = 8
	macBytes   = 8
	partCount  = 3
)

// New returns a new ID for a generation of an account on a target.
func New(secret []byte, account, target string) string {
	nonce := Nonce()
	return target + separator + nonce + separator + mac(secret, account, target, nonce)
}

// Nonce returns 16 random hexadecimal digits.
func Nonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Target returns the target that an ID names, and whether the ID was made for
// this account.
func Target(secret []byte, account, id string) (string, bool) {
	p := strings.Split(id, separator)
	if len(p) != partCount {
		return "", false
	}
	want := mac(secret, account, p[0], p[1])
	return p[0], hmac.Equal([]byte(want), []byte(p[2]))
}

// mac returns the first macBytes of the HMAC, in hexadecimal digits.
func mac(secret []byte, account, target, nonce string) string {
	h := hmac.New(sha256.New, secret)
	for _, s := range []string{"generation", account, target, nonce} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}
