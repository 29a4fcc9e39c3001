package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

const macBytes = 16

var errInvalidMAC = errors.New("invalid message authentication code")

// macEncoding is a drpc.Encoding that prefixes the CBOR body with an HMAC. The
// HMAC covers the message's Go type, so that a message is not accepted as one of
// another type.
type macEncoding struct{ secret []byte }

var _ drpc.Encoding = macEncoding{}

func (e macEncoding) mac(msg drpc.Message, body []byte) []byte {
	h := hmac.New(sha256.New, e.secret)
	fmt.Fprintf(h, "%T\x00", msg)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// Marshal implements drpc.Encoding.
func (e macEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return append(e.mac(msg, body), body...), nil
}

// Unmarshal implements drpc.Encoding.
func (e macEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) < macBytes {
		return errInvalidMAC
	}
	body := buf[macBytes:]
	if !hmac.Equal(buf[:macBytes], e.mac(msg, body)) {
		return errInvalidMAC
	}
	return errors.Wrap(cbor.Unmarshal(body, msg), "decode message")
}
