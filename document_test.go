package bluebelldoor_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestAccountOfNoKey guards against a document whose account has the digest of an empty key
// and thereby lets in callers that send none.
func TestAccountOfNoKey(t *testing.T) {
	var accounts []*bluebelldoor.ClientAccount
	digests := map[string]string{}
	for _, key := range []string{"", "key"} {
		sum := sha256.Sum256([]byte(key))
		digests[key] = hex.EncodeToString(sum[:])
		accounts = append(accounts, bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec{Name: "of " + key, KeySHA256: digests[key]}))
	}
	d := bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{Accounts: accounts})
	assert.Assert(t, d.AccountByKey(digests[""]) == nil)
	assert.Assert(t, d.AccountByKey(digests["key"]) != nil)
}
