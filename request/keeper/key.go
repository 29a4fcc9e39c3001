package keeper

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	keyPrefix = "bd1."
	macBytes  = 16
	// maxKeyBytes bounds what is decoded before the MAC is verified.
	maxKeyBytes = 1024
)

// Key is a minted idempotency key.
type Key struct {
	// Home and HomeIncarnation name the only process that may send the call.
	Home            string `cbor:"home"`
	HomeIncarnation string `cbor:"homeIncarnation"`
	// Witness and WitnessIncarnation name the process to which the call must be
	// announced first; both are empty in a fleet of one VM.
	Witness            string `cbor:"witness"`
	WitnessIncarnation string `cbor:"witnessIncarnation"`
	// Account is the client account that the key was minted for.
	Account string `cbor:"account"`
	// Nonce is unique per key.
	Nonce string `cbor:"nonce"`
	// ExpiresMs is the expiry in milliseconds since the home started, by the
	// home's monotonic clock; no other VM interprets it.
	ExpiresMs int64 `cbor:"expiresMs"`
	// WitnessUntilMs is until when the witness keeps its record of the key, in
	// milliseconds since the witness started, by the witness's monotonic clock.
	WitnessUntilMs int64 `cbor:"witnessUntilMs"`
}

// Sign returns the key's text form with a MAC under secret.
func (k Key) Sign(secret []byte) string {
	body, err := cbor.Marshal(k)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return keyPrefix + encode(body) + "." + encode(mac(secret, body))
}

// ParseKey decodes a key's text form and verifies its MAC.
func ParseKey(secret []byte, text string) (Key, error) {
	var k Key
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > maxKeyBytes {
		return k, errors.New("not a minted key: prefix missing or text too long")
	}
	bodyText, macText, ok := strings.Cut(rest, ".")
	if !ok {
		return k, errors.New("key truncated: no signature")
	}
	body, err := base64.RawURLEncoding.DecodeString(bodyText)
	if err != nil {
		return k, errors.Wrap(err, "decode key")
	}
	sum, err := base64.RawURLEncoding.DecodeString(macText)
	if err != nil {
		return k, errors.Wrap(err, "decode signature")
	}
	if !hmac.Equal(sum, mac(secret, body)) {
		return k, errors.New("key signature mismatch")
	}
	return k, errors.Wrap(cbor.Unmarshal(body, &k), "decode key")
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

func mac(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("idempotencyKey\x00"))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
